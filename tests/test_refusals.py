from tools.refusals import PAGE, render_page


def test_page_matches_the_error_messages():
    assert PAGE.read_text() == render_page()
