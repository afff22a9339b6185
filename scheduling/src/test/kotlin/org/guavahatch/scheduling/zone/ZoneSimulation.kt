package org.guavahatch.scheduling.zone

import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.ManualClock
import org.guavahatch.scheduling.direct.AccountReport
import org.guavahatch.scheduling.direct.EarliestFirstTokenChooser
import org.guavahatch.scheduling.direct.EndpointLoad
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.PeerLoads
import org.guavahatch.scheduling.direct.PeerReport
import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.direct.PriorityReserve
import org.guavahatch.scheduling.direct.RetryAllowance
import org.guavahatch.scheduling.direct.RetryLimit
import org.guavahatch.scheduling.direct.SlotShares
import org.guavahatch.scheduling.direct.WaitingQueue
import org.guavahatch.scheduling.direct.WaitingRequest
import kotlin.random.Random

/**
 * Load on three zones; times are virtual milliseconds.
 *
 * @property load arriving work by zone and time, as a share of the slots that each zone has at first
 * @property lostZone zone whose endpoints are removed from the list after [START]
 * @property silentZone zone whose gateways exchange no reports with those of other zones
 * @property rejectsWork whether an endpoint rejects work when it is full, and reports its requests with each answer
 */
internal class ZoneCase(
    val name: String,
    val gateways: Int,
    val endpointsPerZone: Int = 8,
    val slots: Int = 8,
    val service: Int = 400,
    val target: Long = 500,
    val lostZone: String? = null,
    val silentZone: String? = null,
    val rejectsWork: Boolean = false,
    val load: (zone: String, now: Long) -> Double,
) {
    /** Work that is answered as a whole within the objective counts as an application without a prompt. */
    val promptTokens: Long get() = if (service < target) 0 else 1_000

    companion object {
        val ZONES = listOf("a", "b", "c")
        const val START = 1_000L
        const val PEAK_END = 4_000L
        const val DURATION = 6_000L
    }
}

/** One simulated request. */
internal class ZoneRequest(val zone: String, val request: WaitingRequest) {
    var sentTo: String? = null
    var startedAt: Long? = null
    var endedAt: Long? = null
    var remaining = 0
    var rejections = 0
}

private class SimulatedGateway(
    val name: String,
    val zone: String,
    random: Random,
    clock: ManualClock,
    listed: List<ListedEndpoint>,
    isZoneAware: Boolean,
) {
    val peers = PeerTable(clock, silenceMilliseconds = 1_000)
    private val reserve = PriorityReserve(POOL, peers, clock)
    private val shares = SlotShares(random)
    private val chooser = EarliestFirstTokenChooser(random, zone)
    private val routing =
        if (isZoneAware) ZoneRouting(POOL, zone, peers, chooser, shares, reserve) else null
    private val queue = WaitingQueue()
    private val allowance = RetryAllowance(clock, RetryLimit(0.2, fixedRetries = 50.0, windowMilliseconds = 10_000))
    private val requests = HashMap<Long, ZoneRequest>()
    val states = listed.associate { it.id to EndpointState(it) }.toMutableMap()
    private var sequence = 0L
    private var dividedFor = Int.MAX_VALUE
    private var dividedAt = 0L
    var hasChanged = false

    private val order: Int get() = queue.highestPriority?.order ?: Int.MAX_VALUE

    fun divide(now: Long) {
        dividedFor = order
        dividedAt = now
        val silentShare = peers.silentCount.toDouble() / peers.gatewayCount
        routing?.divide(states.values, order, now)
            ?: shares.divide(states.values, peers.gatewaysWithWaiting(POOL, order), silentShare, now)
    }

    /** Divides the slots after a report, as often as a gateway does. */
    fun divideAgain(now: Long) {
        val interval = shares.divisionMilliseconds(states.values, peers.reportIntervalMilliseconds)
        if (now - dividedAt >= interval) divide(now)
    }

    fun submit(target: Long, promptTokens: Long, now: Long): ZoneRequest {
        val request = WaitingRequest(
            sequence++, 0, 0, now, now + target, now + PATIENCE, now + PATIENCE, promptTokens, 0,
            firstEventMilliseconds = minOf(100, target / 2),
        )
        hasChanged = true
        reserve.recordArrival(request.order)
        allowance.recordRequest()
        queue.add(request)
        if (request.order < dividedFor) divide(now)
        return ZoneRequest(zone, request).also { requests[request.sequence] = it }
    }

    fun report(now: Long, number: Long): PeerReport {
        val load = states.values.filter { it.ownRequests > 0 }
            .associate { it.listed.id.value to EndpointLoad(it.ownRequests, 0) }
        val waiting = if (routing != null) {
            routing.report(queue, states.values, now)
        } else {
            queue.highestPriority?.let {
                if (states.values.any { s -> s.freeSlotsAt(now) > 0 }) it.copy(requests = 0) else it
            }
        }
        val waitingByPool = waiting?.let { mapOf(POOL to it) }.orEmpty()
        val accounts = AccountReport(emptyMap(), emptyMap())
        return PeerReport(
            name,
            "run",
            number,
            load,
            1,
            accounts,
            waitingByPool,
            zone = if (routing == null) "" else zone,
        )
    }

    fun applyReports() = PeerLoads(peers).apply(states.values)

    /** Number of waiting requests. */
    val waiting: Int get() = queue.size

    /**
     * Queues [sent] again, which the endpoint of [state] rejected at [now] with [running] requests, or refuses it if no
     * retry is left.
     */
    fun reject(sent: ZoneRequest, state: EndpointState, running: Int, now: Long) {
        state.recordReportedRequests(running, now)
        state.recordFull(now)
        state.recordEnded(0)
        sent.request.avoidedEndpoints += state.listed.id
        sent.rejections++
        if (!allowance.take(peers.gatewayCount)) return
        requests[sent.request.sequence] = sent
        queue.add(sent.request)
    }

    /** Sends what can be sent at [now]. */
    fun dispatch(now: Long, send: (ZoneRequest, EndpointState) -> Unit) {
        while (queue.size > 0) {
            val choice = choose(now) ?: return
            queue.remove(choice.request)
            choice.endpoint.recordSent(0)
            send(requests.remove(choice.request.sequence)!!, choice.endpoint)
        }
    }

    private fun choose(now: Long): ZoneChoice? {
        val candidates = queue.candidates(now)
        if (routing != null) {
            val late = queue.firstLate(now)?.takeIf { it !in candidates }
            return routing.choose(candidates + listOfNotNull(late), states.values, now)
        }
        val free = states.values.sumOf { it.freeSlotsAt(now) }
        if (free == 0) return null
        return candidates.takeWhile { reserve.mayUse(free, states.values.sumOf { s -> s.listed.slots }, it.order) }
            .firstNotNullOfOrNull { request ->
                chooser.choose(request, states.values, now)?.let { ZoneChoice(request, it, null) }
            }
    }

    private companion object {
        const val POOL = "pool"
        const val PATIENCE = 60_000L
    }
}

/** Simulates gateways and endpoints of three zones; gateways learn of each other's requests late. */
internal class ZoneSimulation(private val case: ZoneCase, isZoneAware: Boolean, private val random: Random) {
    private val clock = ManualClock()
    private val listed = ZoneCase.ZONES.flatMap { zone ->
        List(case.endpointsPerZone) {
            ListedEndpoint(EndpointId("$zone-$it"), 1, "pool", "127.0.0.1:1", zone, case.slots, isLeaving = false)
        }
    }
    private val gateways = List(case.gateways) {
        SimulatedGateway("g-$it", ZoneCase.ZONES[it % ZoneCase.ZONES.size], random, clock, listed, isZoneAware)
    }
    private val byZone = gateways.groupBy { it.zone }
    private val running = listed.associate { it.id to ArrayList<Pair<ZoneRequest, SimulatedGateway>>() }
    private val inTransit = ArrayDeque<Pair<Long, Pair<SimulatedGateway, PeerReport>>>()

    /** All requests. */
    val requests = ArrayList<ZoneRequest>()

    /** Milliseconds for which requests waited, summed, although a slot was free for them somewhere in the pool. */
    var idleWaitMilliseconds = 0L
        private set

    fun simulate(): ZoneSimulation {
        gateways.forEach { it.peers.setMembers(gateways.map { g -> g.name }.toSet() - it.name) }
        val interval = gateways.first().peers.reportIntervalMilliseconds
        repeat(ZoneCase.DURATION.toInt()) {
            clock.advance(1)
            val now = clock.monotonicMilliseconds()
            if (now == ZoneCase.START) loseEndpoints()
            byZone.forEach { (zone, members) -> arrive(zone, members, now) }
            running.forEach { (endpoint, batch) -> run(endpoint, batch, now) }
            exchange(now, interval)
            gateways.forEachIndexed { index, gateway ->
                // As in a gateway: after an arrival, after the end of a request, and every 20 ms while some wait.
                if (!gateway.hasChanged && (now + index) % APPLY != 0L) return@forEachIndexed
                gateway.hasChanged = false
                gateway.dispatch(now) { request, state ->
                    val batch = running.getValue(state.listed.id)
                    if (case.rejectsWork && batch.size >= case.slots) {
                        return@dispatch gateway.reject(request, state, batch.size, now)
                    }
                    request.sentTo = state.listed.zone
                    request.remaining = case.service / 2 + random.nextInt(case.service)
                    batch += request to gateway
                }
            }
            countIdleWaits()
        }
        return this
    }

    private fun countIdleWaits() {
        val free = running.values.sumOf { maxOf(0, case.slots - it.size) }
        idleWaitMilliseconds += minOf(free, gateways.sumOf { it.waiting })
    }

    private fun loseEndpoints() = gateways.forEach { gateway ->
        gateway.states.values.removeAll { it.listed.zone == case.lostZone }
    }

    private fun arrive(zone: String, members: List<SimulatedGateway>, now: Long) {
        val mean = case.load(zone, now) * case.endpointsPerZone * case.slots / case.service
        repeat((mean + random.nextDouble()).toInt()) {
            requests +=
                members.random(random).submit(case.target, case.promptTokens, now)
        }
    }

    private fun run(id: EndpointId, batch: MutableList<Pair<ZoneRequest, SimulatedGateway>>, now: Long) {
        batch.take(case.slots).forEach { entry ->
            val (request, gateway) = entry
            val state = gateway.states[id]
            if (request.startedAt == null) {
                request.startedAt = now
                state?.recordReportedRequests(batch.size, now)
            }
            if (--request.remaining > 0) return@forEach
            if (case.rejectsWork) state?.recordReportedRequests(batch.size, now)
            batch.remove(entry)
            request.endedAt = now
            gateway.hasChanged = true
            state?.recordEnded(0)
            if (case.promptTokens == 0L) state?.recordWork((now - request.startedAt!!).toDouble())
        }
    }

    private fun exchange(now: Long, interval: Long) {
        gateways.forEachIndexed { index, gateway ->
            if ((now + index * interval / gateways.size) % interval != 0L) return@forEachIndexed
            inTransit.addLast(now + TRANSIT to (gateway to gateway.report(now, now)))
        }
        while (inTransit.firstOrNull()?.let { it.first <= now } == true) {
            val (sender, report) = inTransit.removeFirst().second
            gateways.filter { it !== sender && canHear(it, sender, now) }.forEach { it.peers.processReport(report) }
        }
        gateways.forEachIndexed { index, gateway ->
            if ((now + index) % APPLY == 0L) gateway.applyReports()
            if (!case.rejectsWork) {
                if ((now + index) % interval == 0L) gateway.divide(now)
            } else if ((now + index) % APPLY == 0L) {
                gateway.divideAgain(now)
            }
        }
    }

    private fun canHear(one: SimulatedGateway, other: SimulatedGateway, now: Long) =
        now < ZoneCase.START || one.zone == other.zone || case.silentZone !in setOf(one.zone, other.zone)

    /** Share of the sends of requests that arrived in [from] until [to] which left their zone. */
    fun leftShare(from: Long = 0, to: Long = ZoneCase.DURATION): Double {
        val sent = requests.filter { it.request.arrivedAt in from until to && it.sentTo != null }
        return sent.count { it.sentTo != it.zone } / sent.size.toDouble()
    }

    /** Share of the requests of [zones], late ones at the end of the simulation aside, that met their objective. */
    fun onTimeShare(vararg zones: String): Double {
        val counted = requests.filter {
            it.zone in zones && it.request.arrivedAt in ZoneCase.START until ZoneCase.DURATION - 2 * case.target
        }
        return counted.count { it.isOnTime() } / counted.size.toDouble()
    }

    /** The first event of a long answer comes with the start; short work is answered as a whole. */
    private fun ZoneRequest.isOnTime(): Boolean {
        val at = (if (case.promptTokens == 0L) endedAt else startedAt) ?: return false
        return at <= request.objectiveEndsAt
    }

    private companion object {
        const val TRANSIT = 2L
        const val APPLY = 20L
    }
}
