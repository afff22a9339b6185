package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.ManualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FairWaitingQueueTest {
    /** @property use recent use by account before [requests] arrive */
    private class Case(
        val name: String,
        val order: List<Long>,
        val use: Map<String, Double>,
        val requests: List<WaitingRequest>,
        val candidates: List<Long> = order,
    )

    private val cases = listOf(
        Case(
            "the account with the lowest use goes first",
            order = listOf(1, 0),
            use = mapOf("a" to 900.0, "b" to 100.0),
            requests = listOf(request(0, "a"), request(1, "b")),
        ),
        Case(
            "a higher rank goes first, however much its account has used",
            order = listOf(0, 1),
            use = mapOf("a" to 900.0),
            requests = listOf(request(0, "a", rank = 0), request(1, "b", rank = 1)),
        ),
        Case(
            "within an account the most urgent request that can be on time goes first",
            order = listOf(2, 1, 0),
            use = emptyMap(),
            requests = listOf(
                request(0, "a", target = 50),
                request(1, "a", target = 900),
                request(2, "a", target = 600),
            ),
            candidates = listOf(2, 1),
        ),
        Case(
            "an interrupted stream goes first, whatever its account has used",
            order = listOf(0, 1),
            use = mapOf("a" to 900.0),
            requests = listOf(request(0, "a").apply { hasAnswerBegun = true }, request(1, "b")),
        ),
        Case(
            "accounts take turns, as each request counts",
            order = listOf(0, 3, 1, 4, 2),
            use = mapOf("a" to 0.0, "b" to 500.0),
            requests = List(3) { request(it.toLong(), "a") } + List(2) { request(3L + it, "b") },
            candidates = listOf(0, 1, 3, 4),
        ),
        Case(
            "only the accounts that are next are tried",
            order = listOf(5, 4, 3, 2, 1, 0),
            use = (0..5).associate { "account-$it" to 100_000.0 - it },
            requests = List(6) { request(it.toLong(), "account-$it") },
            candidates = listOf(5, 4, 3, 2),
        ),
    )

    private fun request(sequence: Long, account: String, rank: Int = 1, target: Long = 500) =
        waitingRequest(sequence, rank, target = target, outputTokens = 0).copy(account = account)

    private fun queue(use: Map<String, Double>) = FairWaitingQueue(
        AccountShares(ManualClock()).apply { use.forEach { (account, cost) -> recordSent(account, cost, 0) } },
        TokenCost(),
    )

    @Test
    fun `requests are dispatched by rank, use of their account and urgency`() = cases.forEach { case ->
        val queue = queue(case.use)
        case.requests.forEach(queue::add)
        assertEquals(case.order, queue.inDispatchOrder(100).map { it.sequence }, case.name)
        assertEquals(case.candidates, queue.candidates(100).map { it.sequence }, "${case.name}, candidates")
        assertEquals(case.requests.size, queue.size, "${case.name}, size")
        assertTrue(case.requests.all(queue::remove), "${case.name}, removed")
        assertEquals(null, queue.highestPriority, "${case.name}, nothing left")
    }

    @Test
    fun `a request that is added or removed twice counts once`() {
        val queue = queue(emptyMap())
        repeat(2) { queue.add(request(0, "a")) }
        assertEquals(1, queue.size)
        assertTrue(queue.remove(request(0, "a")))
        assertFalse(queue.remove(request(0, "a")))
        assertEquals(0, queue.size)
    }

    @Test
    fun `peers are told of the requests of the accounts that are next, not of all that wait`() {
        val queue = queue(mapOf("a" to 900.0, "b" to 100.0, "c" to 110.0))
        listOf("a", "a", "b", "c").forEachIndexed { index, account -> queue.add(request(index.toLong(), account)) }
        assertEquals(
            WaitingReport(order = 1_001, requests = 4, lowestUse = LowestUse(use = 125, requests = 2)),
            queue.highestPriority,
        )
    }
}
