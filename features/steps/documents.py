import re
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from scripts import counters
from scripts.capacity import PAGE, fit_line, render_page

ROOT = Path(__file__).resolve().parents[2]
# A scenario in docs/PROMISES.md: the name of its feature file and its title.
SCENARIO_REFERENCE = re.compile(r"`([a-z_]+): ([^`]+)`")


def scenarios_of(feature):
    path = ROOT / "features" / f"{feature}.feature"
    text = path.read_text() if path.exists() else ""
    return set(re.findall(r"^ *Scenario(?: Outline)?: (.+)$", text, re.MULTILINE))


@then("every scenario that docs/PROMISES.md names exists")
def step_promises(context):
    named = SCENARIO_REFERENCE.findall((ROOT / "docs" / "PROMISES.md").read_text())
    assert len(named) > 20
    missing = [(f, s) for f, s in named if s not in scenarios_of(f)]
    assert not missing, missing


@then("docs/CAPACITY.md equals the page rendered from the committed measurements")
def step_capacity(context):
    assert PAGE.read_text() == render_page(), "run make capacity"


@given("points on the line 3 + 2 x, one of them 0.4 too high")
def step_points(context):
    context.fit = fit_line(((0.0, 3.0), (1.0, 5.0), (2.0, 7.4), (3.0, 9.0), (4.0, 11.0)))


@then("the fitted slope is 2 within its error")
def step_fit(context):
    assert abs(context.fit.slope - 2.0) <= context.fit.slope_error
    assert 0 < context.fit.slope_error < 0.1
    assert fit_line(((0.0, 1.0), (1.0, 3.0))).slope_error is None


@then("docs/ARCHITECTURE.md names every package")
def step_packages(context):
    text = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
    packages = {path.parent.name for path in (ROOT / "poplarrun").glob("*/__init__.py")}
    missing = {name for name in packages if f"`{name}`" not in text}
    assert not missing, missing


@when("the gateway's main module is imported")
def step_load(context):
    code = "import sys, poplarrun.gateway.__main__; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    context.loaded = set(done.stdout.split())
    assert "poplarrun.gateway" in context.loaded


@then('the modules "{names}" are not loaded')
def step_not_loaded(context, names):
    loaded = context.loaded & set(names.split(", "))
    assert not loaded, loaded


@when('the library example "{name}" runs')
def step_example_runs(context, name):
    context.done = subprocess.run(
        [sys.executable, "-m", f"examples.library.{name}"],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
    )


@then('it succeeds and prints "{text}"')
def step_example_ends(context, text):
    assert context.done.returncode == 0, context.done.stderr
    assert text in context.done.stdout, context.done.stdout


@then("docs/operating/counters.md documents exactly the counters in the code")
def step_counters(context):
    found = counters.find_counters()
    assert len(found.names) > 80 and not found.unresolved, found.unresolved
    missing, unknown = counters.compare(found, counters.list_explained())
    assert not missing, f"undocumented in docs/operating/counters.md: {missing}"
    assert not unknown, f"documented, but not in the code: {unknown}"


@given('code that counts "{name}" and "{beginning}" with a variable suffix')
def step_new_counter(context, name, beginning):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    source = f'self.count_event("{name}")\nself._count(f"{beginning}{{ending}}")\n'
    (Path(folder.name) / "part.py").write_text(source)
    context.found = counters.find_counters(Path(folder.name))


@when("it is compared with docs/operating/counters.md")
def step_compare_counters(context):
    context.missing, _ = counters.compare(context.found, counters.list_explained())


@then('the counters "{names}" are undocumented')
def step_lacking(context, names):
    assert context.missing == names.split(", "), context.missing


@then("no name of the platform's protocols occurs in poplarrun/ outside poplarrun/platform/")
def step_wire_names(context):
    from poplarrun.platform import _names

    values = [value for name, value in vars(_names).items() if name.isupper()]
    headers = {value for value in values if isinstance(value, str) and "-" in value}
    headers |= {name.decode() for name in _names.SYSTEM_HEADERS} | {"pathPrefix", "apiKeys"}
    # Standard HTTP names may occur anywhere, and topics are imported as constants.
    headers -= {"authorization"}
    assert len(headers) > 12
    words = re.compile("|".join(re.escape(header) for header in sorted(headers)), re.IGNORECASE)
    package = ROOT / "poplarrun"
    found = [
        f"{path.relative_to(ROOT)}: {match.group(0)}"
        for path in package.rglob("*.py")
        if package / "platform" not in path.parents
        for match in words.finditer(path.read_text())
    ]
    assert not found, found
