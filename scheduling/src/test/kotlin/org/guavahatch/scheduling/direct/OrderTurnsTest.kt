package org.guavahatch.scheduling.direct

import kotlin.test.Test
import kotlin.test.assertEquals

class OrderTurnsTest {
    private val turns = OrderTurns { 1_000.0 }
    private val waiting = listOf(waitingRequest(0, rank = 0), waitingRequest(1, rank = 1), waitingRequest(2, rank = 2))
    private val orders = waiting.map { it.order }

    private fun dispatchNext(now: Long = 0): Int {
        val inTurn = turns.candidatesInTurn(waiting, now).firstOrNull()
        inTurn?.let { turns.recordTurn(it.order) }
        return (inTurn ?: waiting.first()).also { turns.recordDispatch(it.order, orders, now) }.rank
    }

    @Test
    fun `each lower order that waits gets a tenth of the dispatches`() {
        val counts = List(1_000) { dispatchNext() }.groupingBy { it }.eachCount()
        assertEquals(mapOf(0 to 802, 1 to 99, 2 to 99), counts)
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
        assertEquals(emptyList(), turns.candidatesInTurn(waiting, 100))
        turns.recordHeldBack(orders[1], now = 1_100, longest = 1_000)
        assertEquals(listOf(waiting[1]), turns.candidatesInTurn(waiting, 200))
    }
}
