package org.guavahatch.scheduling.direct

import java.util.TreeMap

/**
 * Gives a small part of the dispatches to each lower order that waits, so that none is starved while higher ones keep a
 * pool full.
 *
 * A turn of an order whose requests hold their slots for longer than others comes less often, in proportion: a tenth of
 * the dispatches of an order with answers several times as long would take a third of the pool from higher orders.
 * A turn passes requests of higher orders that are late already. It passes those that can still meet their objective
 * only after [LONGEST_WAIT_MILLISECONDS] without a dispatch of the lower order.
 *
 * @property serviceOf expected milliseconds for which a request of an order holds a slot, or null for the average order
 */
public class OrderTurns(private val serviceOf: (Int?) -> Double) {
    private val earned = TreeMap<Int, Double>()
    private val dispatchedAtByOrder = HashMap<Int, Long>()
    private var dispatchedAt: Long? = null

    /** Records a dispatch of [order] at [now] while requests of the orders [waiting] wait. */
    public fun recordDispatch(order: Int, waiting: Collection<Int>, now: Long) {
        dispatchedAt = now
        dispatchedAtByOrder.keys.retainAll(waiting)
        dispatchedAtByOrder[order] = now
        waiting.forEach { dispatchedAtByOrder.putIfAbsent(it, now) }
        earned.keys.retainAll(waiting)
        val highest = minOf(order, waiting.minOrNull() ?: return)
        waiting.filter { it > highest }.forEach { earn(it, order) }
    }

    /** Records that a request of this gateway has left the pool while [order] waits for higher ones at peers. */
    public fun recordRelease(order: Int): Unit = earn(order, null)

    /**
     * Records that [order] waits at [now] while peers hold back the slots for higher ones; it earns a turn when this
     * gateway has dispatched nothing for [longest] ms.
     */
    public fun recordHeldBack(order: Int, now: Long, longest: Long) {
        val since = dispatchedAt ?: now.also { dispatchedAt = it }
        if (now - since >= longest) earned[order] = 1.0
    }

    /** The candidates of the order whose turn it is at [now], which are those that can be on time; else empty. */
    public fun candidatesInTurn(candidates: List<WaitingRequest>, now: Long): List<WaitingRequest> {
        val onTime = candidates.filter { !it.hasAnswerBegun && it.latestSendAt >= now }
        val highestOnTime = onTime.minOfOrNull { it.order } ?: return emptyList()
        val order = earned.keys.firstOrNull { order ->
            earned.getValue(order) >= 1 - ROUNDING &&
                (order <= highestOnTime || isOverdue(order, now)) &&
                onTime.any { it.order == order }
        }
        return onTime.filter { it.order == order }
    }

    private fun isOverdue(order: Int, now: Long) =
        now - (dispatchedAtByOrder[order] ?: now) >= LONGEST_WAIT_MILLISECONDS

    /** Records that a request of [order] was sent in its turn. */
    public fun recordTurn(order: Int) {
        earned.computeIfPresent(order) { _, turns -> maxOf(0.0, turns - 1) }
    }

    /**
     * Number of dispatches after which a request of [order] is sent at the latest: [ahead] others go before it,
     * [aheadOfOrder] of which have its own order.
     */
    public fun dispatchesBefore(order: Int, ahead: Int, aheadOfOrder: Int): Int =
        minOf(ahead.toDouble(), (aheadOfOrder + 1) / turnsPerDispatch(order, null)).toInt()

    private fun earn(order: Int, dispatched: Int?) {
        earned.merge(order, turnsPerDispatch(order, dispatched)) { one, other -> minOf(MAXIMUM_TURNS, one + other) }
    }

    /** The part of a turn that [order] gets with a dispatch of the order [dispatched], or of any order if null. */
    private fun turnsPerDispatch(order: Int, dispatched: Int?): Double =
        minOf(1.0, serviceOf(dispatched) / maxOf(1.0, serviceOf(order))) / PART

    public companion object {
        /** Every tenth dispatch goes to a lower order. */
        public const val PART: Int = 10

        /** A turn that finds no request on time is kept, but turns do not pile up. */
        private const val MAXIMUM_TURNS = 2.0

        /** Time without a dispatch after which an order counts as starved: no order is starved for seconds. */
        private const val LONGEST_WAIT_MILLISECONDS = 2_000L
        private const val ROUNDING = 1e-9
    }
}
