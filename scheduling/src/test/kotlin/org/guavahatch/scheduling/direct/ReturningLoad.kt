package org.guavahatch.scheduling.direct

import org.guavahatch.model.time.ManualClock
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Requests of one kind; times in milliseconds.
 *
 * @property share share of all arrivals, 0 to 1
 * @property rank priority, 0 is the highest
 * @property service average time for which a request holds a slot of an average engine; varies by half
 * @property firstEvent time from the send to the first event at an average engine
 */
internal class ReturningKind(
    val share: Double,
    val rank: Int,
    val service: Int,
    val firstEvent: Long = 100,
    val objective: Long = 500,
    val patience: Long = 2_000,
    val deadline: Long = 8_000,
)

/**
 * Load of a pool of engines with eight slots each.
 *
 * @property slowness service time at each engine, relative to the average
 * @property load arrivals relative to the capacity, by time in milliseconds
 * @property restartAt time at which all gateways are killed and restarted, or null
 */
internal class ReturningScenario(
    val kinds: List<ReturningKind>,
    val slowness: List<Double> = List(ENGINES) { 1.0 },
    val duration: Int = 30_000,
    val restartAt: Long? = null,
    val load: (Long) -> Double,
) {
    val slots: Int get() = slowness.size * ENGINE_SLOTS
    val lastArrival: Long get() = duration - kinds.maxOf { it.deadline }

    /** Requests that the engines can serve in a millisecond. */
    val capacity: Double get() = slowness.sumOf { ENGINE_SLOTS / it } / kinds.sumOf { it.share * it.service }

    companion object {
        const val ENGINES = 34
        const val ENGINE_SLOTS = 8
    }
}

/** What the callers of one kind got. */
internal class ReturningResult {
    var asked = 0
    var onTime = 0
    var late = 0
    var rejections = 0
    var rejectedTwice = 0

    /** Milliseconds that requests waited which were then rejected. */
    var waitedInVain = 0L

    /** Longest time in milliseconds between two dispatches of the kind while it waited. */
    var longestStarved = 0L

    val served: Int get() = onTime + late
}

/**
 * Simulates a pool that several gateways fill beyond its capacity; no network, virtual time. A rejected caller follows
 * the advice up to a third of its time, returns once, to any gateway, and gives up when it is rejected again.
 *
 * @property isPlanned whether gateways plan returns; otherwise they advise the expected wait, as without the setting
 */
internal class ReturningLoad(
    seed: Int,
    private val gatewayCount: Int,
    private val scenario: ReturningScenario,
    private val isPlanned: Boolean,
) {
    private val random = Random(seed)
    private val arrivals = Random(seed)
    private val clock = ManualClock()
    private var gateways = List(gatewayCount) { Gateway(it) }
    private var incarnation = 0
    private val busyEngines = IntArray(scenario.slowness.size)
    private var busySlots = 0
    private val running = PriorityQueue<Running>(compareBy { it.endsAt })
    private val inTransit = ArrayDeque<Message>()
    private val returning = PriorityQueue<Caller>(compareBy { it.returnsAt })
    private val lastServed = HashMap<ReturningKind, Long>()
    private var sequence = 0L

    /** Results in the order of [ReturningScenario.kinds]. */
    val results = scenario.kinds.associateWith { ReturningResult() }

    private inner class Caller(val kind: ReturningKind, val arrivedAt: Long) {
        val deadline = arrivedAt + kind.deadline
        var isReturned = false
        var returnsAt = 0L
        val result get() = results.getValue(kind)
    }

    private class Running(val endsAt: Long, val engine: Int, val gateway: Gateway, val order: Int, val service: Long?)

    private class Message(val at: Long, val sender: Int, val report: PeerReport)

    private inner class Gateway(private val index: Int) {
        val queue = WaitingQueue()
        val forecast = QueueForecast()
        val returns = PoolReturns(clock, random)
        val callers = HashMap<Long, Caller>()
        val peers = PeerTable(clock, silenceMilliseconds = 1_000)
        private val reserve = PriorityReserve(POOL, peers, clock)
        private var sent = 0L

        init {
            peers.setMembers((0 until gatewayCount).filter { it != index }.mapTo(HashSet()) { "$it" })
        }

        fun submit(caller: Caller, now: Long) {
            val kind = caller.kind
            val request = waitingRequest(sequence++, kind.rank, now, outputTokens = 0).copy(
                objectiveEndsAt = caller.arrivedAt + kind.objective,
                deadline = caller.deadline,
                patienceEndsAt = minOf(now + kind.patience, caller.deadline),
                firstEventMilliseconds = minOf(kind.firstEvent, kind.objective / 2),
                isRepeated = caller.isReturned,
            )
            callers[request.sequence] = caller
            reserve.recordArrival(request.order)
            returns.recordArrival(request.order)
            queue.add(request)
        }

        /** Sends the next request if there is one that may take a slot. */
        fun dispatch(now: Long): Boolean {
            val candidates = queue.candidates(now)
            val inTurn = if (isPlanned) returns.turns.candidatesInTurn(candidates, now).firstOrNull() else null
            val free = scenario.slots - busySlots
            val request = inTurn
                ?: candidates.first().takeIf { reserve.mayUse(free, scenario.slots, it.order) }
                ?: return false
            if (inTurn != null) returns.turns.recordTurn(inTurn.order)
            queue.remove(request)
            forecast.recordDispatch(now, hasMoreWaiting = queue.size > 0)
            returns.turns.recordDispatch(request.order, queue.waitingOrders, now)
            run(callers.remove(request.sequence)!!, request.order, now)
            return true
        }

        private fun run(caller: Caller, order: Int, now: Long) {
            val kind = caller.kind
            val free = busyEngines.indices.filter { busyEngines[it] < ReturningScenario.ENGINE_SLOTS }
            val engine = free.minBy { scenario.slowness[it] }
            val slowness = scenario.slowness[engine]
            val service = ((kind.service / 2 + random.nextInt(kind.service)) * slowness).toLong()
            busyEngines[engine]++
            busySlots++
            lastServed[kind] = now
            if (now + service > caller.deadline) {
                running += Running(caller.deadline, engine, this, order, null)
                return
            }
            running += Running(now + service, engine, this, order, service)
            val firstEventAt = now + (kind.firstEvent * slowness).toLong()
            if (firstEventAt <= caller.arrivedAt + kind.objective) caller.result.onTime++ else caller.result.late++
        }

        fun onEnded(order: Int, service: Long?) {
            service?.let { returns.recordService(order, it) }
            orderHeldBack()?.let(returns.turns::recordRelease)
        }

        private fun orderHeldBack() =
            queue.highestPriority?.order?.takeIf { peers.waitingWithHigherPriority(POOL, it) > 0 }

        fun rejectHopeless(now: Long) {
            orderHeldBack()?.let {
                returns.turns.recordHeldBack(it, now, returns.longestHold(scenario.slots, gatewayCount))
            }
            var ahead = 0
            val aheadOfOrder = HashMap<Int, Int>()
            queue.inDispatchOrder(now).forEach { request ->
                val sameOrder = aheadOfOrder.getOrDefault(request.order, 0)
                val isKept = if (isPlanned) {
                    returns.canServeInTime(request, forecast, ahead, sameOrder, now)
                } else {
                    forecast.canDispatchInTime(request, ahead, now)
                }
                if (isKept) {
                    ahead++
                    aheadOfOrder[request.order] = sameOrder + 1
                } else {
                    reject(request, ahead, now)
                }
            }
        }

        private fun reject(request: WaitingRequest, ahead: Int, now: Long) {
            queue.remove(request)
            val caller = callers.remove(request.sequence)!!
            caller.result.rejections++
            caller.result.waitedInVain += now - request.arrivedAt
            val longest = (request.deadline - now) / 3
            val delay = if (isPlanned) {
                val atPeers = peers.waitingWithHigherPriority(POOL, request.order + 1)
                returns.retryAfter(request, scenario.slots, ahead + atPeers, gatewayCount)
            } else {
                forecast.expectedWait(ahead, now).coerceIn(minOf(200, longest), longest)
            }
            if (caller.isReturned) {
                caller.result.rejectedTwice++
            } else {
                returning += caller.apply { returnsAt = now + minOf(delay, longest) }
            }
            caller.isReturned = true
        }

        fun report(withReturns: Boolean) = PeerReport(
            "$index",
            "$incarnation",
            sent++,
            load = emptyMap(),
            configurationVersion = 0,
            accounts = AccountReport(emptyMap(), emptyMap()),
            waiting = queue.highestPriority?.let { mapOf(POOL to it) }.orEmpty(),
            returns = if (withReturns) mapOf(POOL to returns.plan.report) else null,
        )
    }

    fun simulate(): ReturningLoad = apply {
        repeat(scenario.duration) {
            clock.advance(1)
            val now = clock.monotonicMilliseconds()
            if (now == scenario.restartAt) restart()
            arrive(now)
            while (running.isNotEmpty() && running.peek().endsAt <= now) {
                val ended = running.poll()
                busyEngines[ended.engine]--
                busySlots--
                ended.gateway.onEnded(ended.order, ended.service)
            }
            val waiting = gateways.filterTo(ArrayList()) { it.queue.size > 0 }
            while (waiting.isNotEmpty() && busySlots < scenario.slots) {
                val gateway = waiting.random(random)
                if (!gateway.dispatch(now) || gateway.queue.size == 0) waiting.remove(gateway)
            }
            noteStarved(now)
            gateways.forEachIndexed { index, gateway ->
                if ((now + index) % RECHECK_MILLISECONDS == 0L) gateway.rejectHopeless(now)
            }
            exchange(now)
        }
    }

    /** What waits and runs is lost, and nothing is known of services, arrivals and planned returns. */
    private fun restart() {
        incarnation++
        running.clear()
        busyEngines.fill(0)
        busySlots = 0
        inTransit.clear()
        gateways = List(gatewayCount) { Gateway(it) }
    }

    private fun arrive(now: Long) {
        repeat((scenario.load(now) * scenario.capacity + arrivals.nextDouble()).toInt()) {
            var draw = arrivals.nextDouble()
            val kind = scenario.kinds.firstOrNull { kind -> (draw < kind.share).also { draw -= kind.share } }
            val caller = Caller(kind ?: scenario.kinds.last(), now)
            if (now < scenario.lastArrival) {
                caller.result.asked++
                gateways.random(random).submit(caller, now)
            }
        }
        while (returning.isNotEmpty() && returning.peek().returnsAt <= now) {
            gateways.random(random).submit(returning.poll(), now)
        }
    }

    private fun noteStarved(now: Long) {
        val ranks = gateways.flatMapTo(HashSet()) { gateway -> gateway.queue.waitingOrders }
        val kinds = scenario.kinds.filter { waitingRequest(0, it.rank).order in ranks }
        lastServed.keys.retainAll(kinds.toSet())
        kinds.forEach { kind ->
            val starved = now - lastServed.getOrPut(kind) { now }
            results.getValue(kind).run { longestStarved = maxOf(longestStarved, starved) }
        }
    }

    private fun exchange(now: Long) {
        gateways.forEachIndexed { index, gateway ->
            if ((now + index * 4) % REPORT_MILLISECONDS != 0L) return@forEachIndexed
            val report = gateway.report(withReturns = (now + index * 4) % RETURNS_MILLISECONDS == 0L)
            inTransit += Message(now + TRANSIT_MILLISECONDS, index, report)
        }
        while (inTransit.firstOrNull()?.let { it.at <= now } == true) {
            val message = inTransit.removeFirst()
            gateways.filterIndexed { index, _ -> index != message.sender }.forEach { gateway ->
                gateway.peers.processReport(message.report)
                message.report.returns?.get(POOL)?.let { gateway.returns.plan.recordPeer(message.report.name, it) }
            }
        }
    }

    private companion object {
        const val POOL = "pool"
        const val RECHECK_MILLISECONDS = 20L
        const val REPORT_MILLISECONDS = 40L
        const val RETURNS_MILLISECONDS = 200L
        const val TRANSIT_MILLISECONDS = 130L
    }
}
