package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.Clock
import kotlin.random.Random

/**
 * Decides when the rejected callers of one pool should return and which waiting requests cannot be served in time, from
 * the measured service time, the arrivals and the [plan] of returns.
 *
 * @property clock source of monotonic time
 */
public class PoolReturns(private val clock: Clock, random: Random) {
    private val arrivals = ArrivalForecast(clock)
    private val rejections = ArrivalForecast(clock)
    private val service = MovingAverage(SERVICE_WEIGHT)
    private val serviceByOrder = HashMap<Int, MovingAverage>()

    /** The planned returns of this gateway and its peers. */
    public val plan: ReturnPlan = ReturnPlan(clock, random)

    /** Turns of lower orders. */
    public val turns: OrderTurns = OrderTurns(::serviceMilliseconds)

    /** Average milliseconds for which a request of [order] holds a slot, or any request if null or not yet measured. */
    public fun serviceMilliseconds(order: Int? = null): Double =
        serviceByOrder[order]?.value ?: service.value ?: DEFAULT_SERVICE_MILLISECONDS

    /** Records the arrival of a request with [order] at this gateway. */
    public fun recordArrival(order: Int): Unit = arrivals.record(order)

    /** Records that a request of [order] held a slot for [milliseconds]. */
    public fun recordService(order: Int, milliseconds: Long) {
        service.add(milliseconds.toDouble())
        serviceByOrder.getOrPut(order) { MovingAverage(SERVICE_WEIGHT) }.add(milliseconds.toDouble())
    }

    /**
     * Whether [request] is kept waiting, with [ahead] others before it, [aheadOfOrder] of which have its order.
     *
     * A repeated request is lost if it is rejected, so it waits until too little time is left to be served, whatever
     * the [forecast] says: it may be served when those ahead of it give up or are rejected.
     */
    public fun canServeInTime(
        request: WaitingRequest,
        forecast: QueueForecast,
        ahead: Int,
        aheadOfOrder: Int,
        now: Long,
    ): Boolean {
        if (request.isRepeated) return now <= request.patienceEndsAt && !isTooLate(request, 0, now)
        val wait = forecast.expectedWait(turns.dispatchesBefore(request.order, ahead, aheadOfOrder), now)
        return now + wait <= request.patienceEndsAt && !isTooLate(request, wait, now)
    }

    /** Whether [request], sent after another [wait] ms, would not be answered before its deadline. */
    private fun isTooLate(request: WaitingRequest, wait: Long, now: Long): Boolean =
        now + wait + serviceMilliseconds(request.order) > request.deadline

    /**
     * Milliseconds after which the caller of the rejected [request] should return.
     *
     * @param slots slots of the pool
     * @param waiting requests of the pool, at all gateways, that go before it
     * @param gateways number of gateways, including this one
     */
    public fun retryAfter(request: WaitingRequest, slots: Int, waiting: Int, gateways: Int): Long {
        val now = clock.monotonicMilliseconds()
        val served = slots * MILLISECONDS_PER_SECOND / serviceMilliseconds()
        val before = request.order + 1
        val first = arrivals.expectedBefore(before, SECOND) - rejections.expectedBefore(before, SECOND)
        if (!request.isRepeated) rejections.record(request.order)
        val demand = PoolDemand(served, maxOf(0.0, first) * gateways, waiting, gateways)
        return plan.plan(request.order, demand, latestReturn(request, now), isExpected = !request.isRepeated)
    }

    /** Longest useful wait in milliseconds: callers follow a third of their time, and the answer needs some of it. */
    private fun latestReturn(request: WaitingRequest, now: Long): Long {
        val left = request.deadline - now
        return maxOf(
            0,
            minOf(
                left / CALLER_DIVISOR,
                left - (serviceMilliseconds(request.order) * SERVICE_MARGIN).toLong(),
            ),
        )
    }

    /** Longest time in milliseconds without a dispatch of this gateway, a tenth of the pool's shared by [gateways]. */
    public fun longestHold(slots: Int, gateways: Int): Long = maxOf(
        SECOND,
        (OrderTurns.PART * gateways * serviceMilliseconds() / maxOf(1, slots)).toLong(),
    )

    private companion object {
        /** Averages about fifty requests, since their durations differ by far. */
        const val SERVICE_WEIGHT = 0.02

        /** A typical request to a model engine, before the first is measured. */
        const val DEFAULT_SERVICE_MILLISECONDS = 1_000.0
        const val SECOND = 1_000L
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Callers follow the advice for up to a third of their remaining time. */
        const val CALLER_DIVISOR = 3

        /** A returned caller waits again, and its answer may take longer than the average. */
        const val SERVICE_MARGIN = 2
    }
}
