package org.guavahatch.scheduling.queue

import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TieredQueueTest {
    private fun request(
        sequence: Long,
        rank: Int = 0,
        account: String = "a",
        share: Int = 1,
        cost: Double = 1.0,
        deadline: Long = 1000,
    ) = QueuedRequest(RequestId(Incarnation("e"), sequence), rank, account, share, cost, deadline)

    private fun serveAll(queue: TieredQueue): List<Long> = generateSequence {
        queue.first()?.also {
            queue.remove(it.requestId)
            queue.charge(it)
        }
    }.map { it.requestId.sequence }.toList()

    private class Case(val name: String, val requests: List<QueuedRequest>, val order: List<Long>)

    @Test
    fun `requests are served by tier, then by fair share, then by deadline`() {
        listOf(
            Case("tiers", listOf(request(1, rank = 2), request(2, rank = 0), request(3, rank = 1)), listOf(2, 3, 1)),
            Case("deadlines", listOf(request(1, deadline = 30), request(2, deadline = 10)), listOf(2, 1)),
            Case(
                "a backlog of one account does not delay another",
                (1L..4L).map { request(it, account = "large") } + request(9, account = "small", deadline = 9000),
                listOf(1, 9, 2, 3, 4),
            ),
            Case(
                "shares",
                (1L..4L).map { request(it, account = "a", share = 2) } +
                    (5L..6L).map { request(it, account = "b", share = 1) },
                listOf(1, 5, 2, 3, 6, 4),
            ),
        ).forEach { case ->
            val queue = TieredQueue()
            case.requests.forEach(queue::add)
            assertEquals(case.order, serveAll(queue), case.name)
        }
    }

    @Test
    fun `an account gains no credit for idle time`() {
        val queue = TieredQueue()
        (1L..10L).forEach { queue.add(request(it, account = "busy")) }
        repeat(5) { queue.first()?.let { queue.remove(it.requestId)?.let(queue::charge) } }
        (11L..20L).forEach { queue.add(request(it, account = "late")) }
        val firstSix = serveAll(queue).take(6)
        assertTrue(firstSix.count { it > 10 } <= 4, "$firstSix")
    }

    @Test
    fun `the summary matches the queued requests`() {
        val queue = TieredQueue()
        (1L..5L).forEach { queue.add(request(it, rank = (it % 2).toInt(), cost = it.toDouble())) }
        queue.remove(RequestId(Incarnation("e"), 5))
        assertEquals(listOf(0 to 6.0, 1 to 4.0), queue.summary().map { it.rank to it.cost })
        assertEquals(4, queue.size)
    }
}
