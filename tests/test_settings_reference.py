from tools.settings_reference import PAGE, render_page


def test_page_matches_the_schema():
    assert PAGE.read_text() == render_page()
