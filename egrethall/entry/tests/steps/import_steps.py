import importlib
import subprocess
import sys

from behave import then, when

PRINT_IMPORTED_MODULES = "import egrethall.entry._daemon, sys; print(*sys.modules)"


@when("the modules of an entry instance are imported")
def step_impl(context):
    finished = subprocess.run(
        [sys.executable, "-c", PRINT_IMPORTED_MODULES],
        capture_output=True,
        text=True,
        check=True,
    )
    context.modules = finished.stdout.split()


@then("{module} is not imported")
def step_impl(context, module):
    assert "egrethall.entry._daemon" in context.modules
    assert module not in context.modules


@when("all exported names of {package} are looked up")
def step_impl(context, package):
    context.package = importlib.import_module(package)
    context.values = [
        getattr(context.package, name) for name in context.package.__all__
    ]


@then("each is found, and an unknown name raises AttributeError")
def step_impl(context):
    assert all(value is not None for value in context.values)
    try:
        context.package.NoSuchName  # noqa: B018
    except AttributeError as error:
        assert "NoSuchName" in str(error)
    else:
        raise AssertionError("an unknown name was found")
