package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertEquals

class OrderTurnsTest {
    private var longService = 1_000.0
    private val turns = OrderTurns { if (it == orders[2]) longService else 1_000.0 }
    private val waiting = listOf(waitingRequest(0, rank = 0), waitingRequest(1, rank = 1), waitingRequest(2, rank = 2))
    private val late = listOf(waitingRequest(0, rank = 0, arrivedAt = -1_000), waitingRequest(1, rank = 1))
    private val orders = waiting.map { it.order }

    /** Dispatches by rank when [requests] wait at [time] for each of 1,000 dispatches. */
    private fun dispatches(requests: List<WaitingRequest>, time: (Int) -> Long = { 0 }): Map<Int, Int> = List(1_000) {
        val inTurn = turns.candidatesInTurn(requests, time(it)).firstOrNull()
        inTurn?.let { request -> turns.recordTurn(request.order) }
        val sent = inTurn ?: requests.first()
        turns.recordDispatch(sent.order, requests.map { request -> request.order }, time(it))
        sent.rank
    }.groupingBy { it }.eachCount()

    @Test
    fun `a lower order that waits behind late requests gets a tenth of the dispatches`() =
        assertEquals(mapOf(0 to 901, 1 to 99), dispatches(late))

    @Test
    fun `an order whose requests hold their slots for longer gets fewer turns, not more of the pool`() {
        longService = 4_000.0
        val requests = listOf(late[0], waiting[2])
        assertEquals(mapOf(0 to 974, 2 to 26), dispatches(requests))
    }

    @Test
    fun `requests of higher orders that can be on time are passed only after two seconds without a dispatch`() {
        assertEquals(mapOf(0 to 1_000), dispatches(waiting) { 0 })
        val patient = waiting.map { it.copy(objectiveEndsAt = Long.MAX_VALUE) }
        assertEquals(mapOf(0 to 992, 1 to 4, 2 to 4), dispatches(patient) { it * 10L })
    }

    @Test
    fun `a lower order gets no turn for requests that are late anyway, or after it has stopped waiting`() {
        repeat(50) { turns.recordDispatch(orders[0], orders, 0) }
        assertEquals(emptyList(), turns.candidatesInTurn(waiting, now = 10_000), "late")
        turns.recordDispatch(orders[0], listOf(orders[0]), 0)
        assertEquals(emptyList(), turns.candidatesInTurn(waiting, now = 0), "stopped waiting")
    }

    @Test
    fun `an order that is held back for peers gets a turn after a while without a dispatch, not at once`() {
        turns.recordHeldBack(orders[1], now = 100, longest = 1_000)
        assertEquals(emptyList(), turns.candidatesInTurn(waiting.drop(1), 100))
        turns.recordHeldBack(orders[1], now = 1_100, longest = 1_000)
        assertEquals(listOf(waiting[1]), turns.candidatesInTurn(waiting.drop(1), 200))
    }
}
