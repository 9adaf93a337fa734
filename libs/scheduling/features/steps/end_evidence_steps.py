from behave import then, when


class ForgettingCell:
    """Scripted cell whose silent workers are forgotten as the hold loops forget them.

    A hold that fails is followed by the next one at once.
    """

    def __init__(self, scripted_cell):
        self._scripted_cell = scripted_cell

    def __getattr__(self, name):
        return getattr(self._scripted_cell, name)

    def step(self):
        """Let the holds of silent workers fail, then take a step."""
        cell = self._scripted_cell.cell
        for worker_id in self._scripted_cell.silent & cell.worker_by_id.keys():
            cell.on_hold_failed(worker_id, self._scripted_cell.now)
            if cell.can_forget(worker_id):
                del cell.worker_by_id[worker_id]
        self._scripted_cell.step()


@when("that worker leaves the list, and its holds fail")
def step_leaves(context):
    context.scripted_cell.cell.unlist_worker("w0")
    context.scripted_cell.silent.add("w0")
    context.scripted_cell = ForgettingCell(context.scripted_cell)
    context.scripted_cell.step()


@then("the task is started on the worker that answers")
def step_started_on_answering(context):
    started = [item.worker_id for item in context.scripted_cell.starts]
    assert started == ["w1"], started


@then("the worker that left is still known")
def step_known(context):
    assert "w0" in context.scripted_cell.cell.worker_by_id


@then("the worker that left is forgotten")
def step_forgotten(context):
    assert "w0" not in context.scripted_cell.cell.worker_by_id
