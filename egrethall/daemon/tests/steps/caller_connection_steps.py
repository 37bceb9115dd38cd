import resource
import time

from behave import given, then, when

from egrethall.daemon.tests.request_fleet import FleetPlan, RequestFleet, ServicePlan
from standins.client_crowd import ClientCrowd, ProcessWatch, SilentClient

ENTRY = "entry-1"
PLAN = FleetPlan(services=(ServicePlan("reads", 3, direct=True),), instances=1)

#: Time for which the crowd connects before it is judged.
CROWD_SECONDS = 5.0

#: Time within which an ordinary call is answered; a refused caller comes again.
ORDINARY_SECONDS = 30.0


@given("a stand-alone instance with {descriptors:d} descriptors")
def step_impl(context, descriptors):
    context.fleet = RequestFleet(PLAN)
    context.add_cleanup(context.fleet.close)
    instance = context.fleet.fleet.instances[ENTRY]
    process = context.fleet.fleet.processes[ENTRY]
    limits = (descriptors, descriptors)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
    context.watch = ProcessWatch(process.pid, [instance.caller_port])
    context.add_cleanup(context.watch.close)


@when(
    "{count:d} callers connect, send nothing and come back when they are disconnected"
)
def step_impl(context, count):
    crowd = ClientCrowd(reconnects=True)
    context.add_cleanup(crowd.close)
    instance = context.fleet.fleet.instances[ENTRY]
    crowd.start(instance.caller_port, [SilentClient()] * count)
    time.sleep(CROWD_SECONDS)


@then("the stand-alone instance lives and has at most {descriptors:d} descriptors")
def step_impl(context, descriptors):
    watch = context.watch
    watch.close()
    print(f"peak {watch.peak_bytes / 1e6:.0f} MB, {watch.most_descriptors} descriptors")
    assert watch.is_alive
    assert watch.most_descriptors <= descriptors, watch.most_descriptors


@then("the stand-alone instance answers an ordinary call while they stay")
def step_impl(context):
    fleet = context.fleet

    def is_answered():
        (answer,) = fleet.run([fleet.plan_call("/reads/ordinary-{n}")])
        return answer.ok

    fleet.wait_until(is_answered, ORDINARY_SECONDS, "an answer")
