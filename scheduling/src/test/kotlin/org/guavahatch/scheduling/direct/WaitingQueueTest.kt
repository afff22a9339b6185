package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertEquals

class WaitingQueueTest {
    private class Case(val name: String, val now: Long, val order: List<Long>, val requests: List<WaitingRequest>)

    private val cases = listOf(
        Case(
            "higher ranks go first, whatever the order of arrival",
            now = 0,
            order = listOf(2, 1, 0),
            requests = listOf(waitingRequest(0, rank = 2), waitingRequest(1, rank = 1), waitingRequest(2, rank = 0)),
        ),
        Case(
            "the most urgent request of a rank goes first",
            now = 0,
            order = listOf(1, 0),
            requests = listOf(waitingRequest(0, target = 800), waitingRequest(1, target = 500)),
        ),
        Case(
            "a late request goes after those of its rank that can still meet their objective",
            now = 1_000,
            order = listOf(1, 0),
            requests = listOf(waitingRequest(0, arrivedAt = 0), waitingRequest(1, arrivedAt = 900)),
        ),
        Case(
            "a request whose prompt takes longer than the rest of its objective does not take the slot of another",
            now = 200,
            order = listOf(1, 0),
            requests = listOf(waitingRequest(0, firstEvent = 350), waitingRequest(1, arrivedAt = 150)),
        ),
        Case(
            "of two requests with the same objective the one with the longer prompt goes first",
            now = 100,
            order = listOf(1, 0),
            requests = listOf(waitingRequest(0), waitingRequest(1, firstEvent = 250)),
        ),
        Case(
            "an interrupted stream goes before other requests of its rank",
            now = 1_000,
            order = listOf(0, 2, 1),
            requests = listOf(
                waitingRequest(0, arrivedAt = 0).apply { hasAnswerBegun = true },
                waitingRequest(1, arrivedAt = 100),
                waitingRequest(2, arrivedAt = 900),
            ),
        ),
        Case(
            "a late request goes before lower ranks",
            now = 1_000,
            order = listOf(0, 1),
            requests = listOf(waitingRequest(0, rank = 0), waitingRequest(1, rank = 1, arrivedAt = 900)),
        ),
    )

    @Test
    fun `requests are dispatched by rank and urgency`() = cases.forEach { case ->
        val queue = WaitingQueue()
        case.requests.forEach(queue::add)
        assertEquals(case.order, queue.inDispatchOrder(case.now).map { it.sequence }, "${case.name}, in order")
        assertEquals(case.order, queue.candidates(case.now).map { it.sequence }, "${case.name}, candidates")
        val removed = generateSequence { queue.next(case.now)?.also(queue::remove) }.map { it.sequence }.toList()
        assertEquals(case.order, removed, "${case.name}, removed in turn")
    }
}
