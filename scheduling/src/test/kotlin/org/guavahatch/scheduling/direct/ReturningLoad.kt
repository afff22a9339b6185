package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.ManualClock
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Simulates a pool that several gateways fill beyond its capacity in peaks; no network, virtual time. A rejected caller
 * follows the advice, returns once, to any gateway, and gives up when it is rejected again.
 *
 * @property isPlanned whether gateways plan returns; otherwise they advise the expected wait, as without the setting
 */
internal class ReturningLoad(
    seed: Int,
    private val gatewayCount: Int,
    private val slots: Int,
    private val isPlanned: Boolean,
) {
    private val random = Random(seed)
    private val clock = ManualClock()
    private val gateways = List(gatewayCount) { Gateway() }
    private val busyUntil = PriorityQueue<Long>()
    private val inTransit = ArrayDeque<Message>()
    private val returning = PriorityQueue<Caller>(compareBy { it.returnsAt })
    private val callers = HashMap<Long, Caller>()
    private var sequence = 0L
    private val lastServed = HashMap<Int, Long>()

    var served = 0
        private set
    var servedOnTime = 0
        private set
    var rejections = 0
        private set
    var rejectedTwice = 0
        private set

    /** Milliseconds that requests waited which were then rejected. */
    var waitedInVain = 0L
        private set

    /** Longest time in milliseconds between two dispatches of an order while it waited. */
    var longestStarved = 0L
        private set

    private class Caller(val order: Int, val deadline: Long, var isReturned: Boolean = false, var returnsAt: Long = 0)

    private class Message(
        val at: Long,
        val sender: Int,
        val waiting: WaitingReport?,
        val returns: Map<Int, List<Int>>?,
    )

    private inner class Gateway {
        val queue = WaitingQueue()
        val forecast = QueueForecast()
        val returns = PoolReturns(clock, random)
        val heard = arrayOfNulls<WaitingReport>(gatewayCount)

        fun submit(caller: Caller, now: Long) {
            val request = waitingRequest(sequence++, caller.order, now, outputTokens = 0)
                .copy(deadline = caller.deadline, patienceEndsAt = minOf(now + PATIENCE_MILLISECONDS, caller.deadline))
            callers[request.sequence] = caller
            returns.recordArrival(request.order)
            queue.add(request)
        }

        fun dispatch(now: Long) {
            val candidates = queue.candidates(now)
            val inTurn = if (isPlanned) returns.turns.candidatesInTurn(candidates, now).firstOrNull() else null
            val request = inTurn ?: candidates.first()
            if (inTurn != null) returns.turns.recordTurn(inTurn.order)
            queue.remove(request)
            returns.turns.recordDispatch(request.order, queue.candidates(now).map { it.order }.distinct(), now)
            forecast.recordDispatch(now, hasMoreWaiting = queue.size > 0)
            callers.remove(request.sequence)
            val service = SERVICE_MILLISECONDS / 2 + random.nextInt(SERVICE_MILLISECONDS)
            busyUntil += now + service
            returns.recordService(service.toLong())
            served++
            lastServed[request.order] = now
            if (now <= request.latestSendAt) servedOnTime++
        }

        fun rejectHopeless(now: Long) {
            var ahead = 0
            val aheadOfOrder = HashMap<Int, Int>()
            queue.inDispatchOrder(now).forEach { request ->
                val sameOrder = aheadOfOrder.getOrDefault(request.order, 0)
                val before = if (isPlanned) returns.turns.dispatchesBefore(ahead, sameOrder) else ahead
                val wait = forecast.expectedWait(before, now)
                val isTooLate = isPlanned && returns.isTooLate(request, wait, now)
                if (forecast.canDispatchInTime(request, before, now) && !isTooLate) {
                    ahead++
                    aheadOfOrder[request.order] = sameOrder + 1
                } else {
                    reject(request, ahead, wait, now)
                }
            }
        }

        private fun reject(request: WaitingRequest, ahead: Int, wait: Long, now: Long) {
            queue.remove(request)
            rejections++
            waitedInVain += now - request.arrivedAt
            val caller = callers.remove(request.sequence)!!
            val longest = (request.deadline - now) / 3
            val delay = if (isPlanned) {
                val atPeers = heard.sumOf { it?.takeIf { waiting -> waiting.order <= request.order }?.requests ?: 0 }
                returns.retryAfter(request, slots, ahead + atPeers, heard.size)
            } else {
                wait.coerceIn(minOf(200, longest), longest)
            }
            if (caller.isReturned) rejectedTwice++ else returning += caller.apply { returnsAt = now + delay }
            caller.isReturned = true
        }
    }

    fun simulate(): ReturningLoad = apply {
        repeat(DURATION_MILLISECONDS) {
            clock.advance(1)
            val now = clock.monotonicMilliseconds()
            arrive(now)
            while (busyUntil.isNotEmpty() && busyUntil.peek() <= now) busyUntil.poll()
            val waiting = gateways.filterTo(ArrayList()) { it.queue.size > 0 }
            while (waiting.isNotEmpty() && busyUntil.size < slots) {
                val gateway = waiting.random(random)
                gateway.dispatch(now)
                if (gateway.queue.size == 0) waiting.remove(gateway)
            }
            noteStarved(now)
            gateways.forEachIndexed { index, gateway ->
                if ((now + index) % RECHECK_MILLISECONDS == 0L) gateway.rejectHopeless(now)
            }
            exchange(now)
        }
    }

    private fun arrive(now: Long) {
        val load = if (now % PERIOD_MILLISECONDS < PEAK_MILLISECONDS) PEAK_LOAD else USUAL_LOAD
        repeat((load * slots / SERVICE_MILLISECONDS + random.nextDouble()).toInt()) {
            val caller = Caller(random.nextInt(ORDERS), now + DEADLINE_MILLISECONDS)
            if (now < DURATION_MILLISECONDS - DEADLINE_MILLISECONDS) gateways.random(random).submit(caller, now)
        }
        while (returning.isNotEmpty() && returning.peek().returnsAt <= now) {
            gateways.random(random).submit(returning.poll(), now)
        }
    }

    private fun noteStarved(now: Long) {
        val orders = gateways.flatMapTo(HashSet()) { gateway -> gateway.queue.candidates(now).map { it.order } }
        lastServed.keys.retainAll(orders)
        orders.forEach { order -> longestStarved = maxOf(longestStarved, now - lastServed.getOrPut(order) { now }) }
    }

    private fun exchange(now: Long) {
        gateways.forEachIndexed { index, gateway ->
            if ((now + index * 4) % REPORT_MILLISECONDS != 0L) return@forEachIndexed
            val returns = gateway.returns.plan.report.takeIf { (now + index * 4) % RETURNS_MILLISECONDS == 0L }
            inTransit += Message(now + TRANSIT_MILLISECONDS, index, gateway.queue.highestPriority, returns)
        }
        while (inTransit.firstOrNull()?.let { it.at <= now } == true) {
            val message = inTransit.removeFirst()
            gateways.filterIndexed { index, _ -> index != message.sender }.forEach { gateway ->
                gateway.heard[message.sender] = message.waiting
                message.returns?.let { gateway.returns.plan.recordPeer(message.sender.toString(), it) }
            }
        }
    }

    private companion object {
        const val SERVICE_MILLISECONDS = 500
        const val ORDERS = 3
        const val PATIENCE_MILLISECONDS = 2_000L
        const val DEADLINE_MILLISECONDS = 8_000L
        const val DURATION_MILLISECONDS = 30_000
        const val PERIOD_MILLISECONDS = 5_000L
        const val PEAK_MILLISECONDS = 1_500L
        const val PEAK_LOAD = 2.2
        const val USUAL_LOAD = 0.5
        const val RECHECK_MILLISECONDS = 20L
        const val REPORT_MILLISECONDS = 40L
        const val RETURNS_MILLISECONDS = 200L
        const val TRANSIT_MILLISECONDS = 130L
    }
}
