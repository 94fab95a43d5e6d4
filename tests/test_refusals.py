from tools.refusals import PAGE, render_page


def test_page_is_what_the_checks_tell():
    assert PAGE.read_text() == render_page()
