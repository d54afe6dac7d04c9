"""Several ``Membership`` objects that exchange heartbeats in memory."""

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import FailureDomainId, Incarnation, InstanceId
from fuchsiaroute.membership import Announcement, Membership, MemberState

TICK = Milliseconds(1_000)


def name_of(number):
    return InstanceId(f"entry-{number}")


class Cluster:
    def __init__(self, count):
        self.clock = ManualClock()
        self.cut = set()
        self.stopped = set()
        self.incarnations = dict.fromkeys(range(count), 1)
        self.cores = {}
        self.listed = tuple(range(count))
        for number in range(count):
            self.start(number)

    def announcement(self, number, incarnation):
        return Announcement(
            instance=name_of(number),
            incarnation=Incarnation(incarnation),
            sequence=0,
            is_leaving=False,
            address=f"10.0.0.{number}:1",
            failure_domain=FailureDomainId(f"domain-{number % 3}"),
        )

    def start(self, number):
        own = self.announcement(number, self.incarnations[number])
        core = Membership(own, self.clock)
        self.cores[number] = core
        self.list_to(core)
        core.announce(is_leaving=False)

    def list_to(self, core):
        core.apply_listed(tuple(self.announcement(other, 0) for other in self.listed))

    def restart(self, number):
        self.incarnations[number] += 1
        self.stopped.discard(number)
        self.start(number)

    def cut_link(self, left, right):
        self.cut.add(frozenset({left, right}))

    def cut_groups(self, left, right):
        for one in left:
            for other in right:
                self.cut_link(one, other)

    def run(self, seconds):
        for _ in range(seconds):
            self.clock.tick(TICK)
            for number, core in self.cores.items():
                if number not in self.stopped:
                    self._round(number, core)

    def _round(self, number, core):
        core.refresh()
        for target in core.due_targets():
            other = int(target.instance.split("-")[1])
            is_cut = frozenset({number, other}) in self.cut
            if is_cut or other in self.stopped or other not in self.cores:
                continue
            updates = core.updates_for(target.instance)
            answerer = self.cores[other]
            answerer.receive(core.own.instance, updates)
            core.record_answer(target.instance, answerer.own.incarnation)
            core.acknowledge(target.instance, updates)

    def states(self, viewer):
        return {
            int(member.instance.split("-")[1]): member.state
            for member in self.cores[viewer].members()
        }

    def view(self, viewer, subject):
        return self.states(viewer)[subject]

    def all_see(self, subject, state: MemberState):
        viewers = [
            number
            for number in self.cores
            if number != subject and number not in self.stopped
        ]
        return all(self.view(viewer, subject) is state for viewer in viewers)
