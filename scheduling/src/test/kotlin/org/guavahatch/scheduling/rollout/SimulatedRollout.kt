package org.guavahatch.scheduling.rollout

import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.ManualClock
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** What an answer depends on: its side, route and time, and the requests running at its endpoint. */
class AnswerConditions(val isTarget: Boolean, val route: Int, val now: Long, val running: Int, val endpoint: Int)

/**
 * A rollout to simulate.
 *
 * @property isBad whether it is to be rolled back
 * @property failureShare chance that an answer is a failure
 * @property slowness factor on the durations of an answer
 * @property restarted gateways that are killed at 3 s and start again at 5 s
 * @property cutOff gateways that hear no peers and no store from 4 s to 9.5 s
 * @property observers gateways that hear all evidence; the others hear only the phases of some, which saves time
 * @property speeds factors on the durations of the engines of both sides
 * @property requestsPerSecond requests of all callers
 */
class RolloutCase(
    val name: String,
    val isBad: Boolean,
    val gateways: Int = 23,
    val failureShare: (AnswerConditions) -> Double = { 0.0 },
    val slowness: (AnswerConditions) -> Double = { 1.0 },
    val restarted: Int = 0,
    val cutOff: Int = 0,
    val observers: Int = minOf(gateways, Integer.getInteger("rollout.observers", 6)),
    val speeds: List<Double> = listOf(0.6, 1.7, 1.7),
    val requestsPerSecond: Int = 300,
    val routeWeights: List<Int> = listOf(5, 3, 2),
)

/** What happened in a simulated rollout. */
class RolloutResult(
    val phase: RolloutPhase,
    val reason: String,
    val endedAt: Long,
    val sends: Int,
    val targetSends: Int,
    val fiftiethBadAt: Long?,
    val lastTargetSendAt: Long,
)

/**
 * Gateways, a store with one record and a pool of two versions, without a network, in virtual time. The gateways choose
 * an endpoint as the product does, by the work there and its speed.
 */
class SimulatedRollout(private val case: RolloutCase, seed: Int) {
    private val random = Random(seed)
    private val clock = ManualClock()
    private val order = RolloutOrder("pool", "v2", LIMIT, 1)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private val endpoints = listOf("v1", "v2").flatMap { version ->
        List(ENDPOINTS) { Endpoint(version, "$version-$it-$seed", case.speeds[it % case.speeds.size]) }
    }
    private val gateways = List(case.gateways) { Gateway(it) }
    private var record: RolloutRecord? = null
    private var reason = ""
    private var startedAt = 0L
    private var endedAt = LIMIT
    private var eventCount = 0L
    private var sends = 0
    private var targetSends = 0
    private var bad = 0
    private var fiftiethBadAt: Long? = null
    private var lastTargetSendAt = 0L

    fun run(): RolloutResult {
        gateways.forEach { it.start(random.nextLong(START_SPREAD)) }
        schedule(0) { arrive() }
        while (clock.monotonicMilliseconds() <= LIMIT + 1_000) {
            val event = events.poll()
            clock.advance(event.at - clock.monotonicMilliseconds())
            event.action()
        }
        val phase = record?.phase ?: RolloutPhase.RUNNING
        return RolloutResult(phase, reason, endedAt, sends, targetSends, fiftiethBadAt, lastTargetSendAt)
    }

    private fun schedule(delay: Long, action: () -> Unit) {
        events += Event(clock.monotonicMilliseconds() + delay, eventCount++, action)
    }

    private fun arrive() {
        val live = gateways.filter { it.rollout != null }
        if (live.isNotEmpty()) live.random(random).send(pickRoute())
        val gap = -ln(1 - random.nextDouble()) * 1_000 / case.requestsPerSecond
        remainder += gap
        val whole = remainder.toLong()
        remainder -= whole
        schedule(whole) { arrive() }
    }

    private var remainder = 0.0

    private fun pickRoute(): Int {
        var left = random.nextInt(case.routeWeights.sum())
        return case.routeWeights.indexOfFirst { weight -> (left < weight).also { left -= weight } }
    }

    private fun isCutOff(gateway: Int) = gateway < case.cutOff && clock.monotonicMilliseconds() in CUT

    private inner class Endpoint(version: String, name: String, val speed: Double) {
        val listed = ListedEndpoint(EndpointId(name), 1, "pool", name, "a", SLOTS, false, version)
        var running = 0

        fun cost() = (1_000 + running * 300) * speed * (1 + random.nextDouble() * 0.1)
    }

    private inner class Gateway(val index: Int) {
        var rollout: PoolRollout? = null
        private var incarnation = 0
        private var openOnPrevious = 0
        private var writtenPhase: RolloutPhase? = null

        fun start(delay: Long) = schedule(delay) {
            begin(isRecentlyStarted = false)
            if (index >= gateways.size - case.restarted) {
                schedule(3_000) { rollout = null }
                schedule(5_000) { begin(isRecentlyStarted = true) }
            }
        }

        private fun begin(isRecentlyStarted: Boolean) {
            incarnation++
            val started = PoolRollout(order, LIMITS, clock, random, isRecentlyStarted, "$index-$incarnation")
            started.updateGateways(case.gateways)
            started.updateEndpoints(endpoints.map { it.listed })
            rollout = started
            openOnPrevious = 0
            writtenPhase = null
            schedule(random.nextLong(WRITE_DELAY)) { read(started) }
            schedule(random.nextLong(REVIEW)) { review(started) }
            schedule(random.nextLong(REPORT)) { report(started) }
        }

        private fun read(mine: PoolRollout) {
            if (rollout !== mine) return
            if (!isCutOff(index)) {
                if (record == null) startedAt = clock.monotonicMilliseconds()
                val stored = record ?: RolloutRecord(order, RolloutPhase.RUNNING, setOf("v1")).also { record = it }
                mine.onRecord(stored, clock.monotonicMilliseconds() - startedAt)
            }
            schedule(1_000) { read(mine) }
        }

        private fun review(mine: PoolRollout) {
            if (rollout !== mine) return
            mine.review(0)
            if (mine.phase != RolloutPhase.RUNNING && writtenPhase != mine.phase) {
                writtenPhase = mine.phase
                schedule(random.nextLong(WRITE_DELAY)) { write(mine) }
            }
            schedule(REVIEW) { review(mine) }
        }

        private fun write(mine: PoolRollout) {
            if (isCutOff(index)) return
            val stored = record ?: return
            if (!stored.phase.isEnd && mine.phase > stored.phase) {
                record = stored.copy(phase = mine.phase)
                reason = mine.reason
                if (mine.phase.isEnd) endedAt = clock.monotonicMilliseconds()
            }
            mine.onRecord(record!!, clock.monotonicMilliseconds() - startedAt)
        }

        private fun report(mine: PoolRollout) {
            if (rollout !== mine) return
            val sent = mine.report(openOnPrevious).copy(endedLifetime = mine.nextEndedLifetime())
            val run = "$index-$incarnation"
            val hearers = gateways.take(case.observers).map { it to sent } +
                (case.observers until gateways.size).shuffled(random).take(case.observers)
                    .map { gateways[it] to sent.copy(evidence = emptyMap(), endedLifetime = null) }
            hearers.filter { it.first !== this && !isCutOff(index) && !isCutOff(it.first.index) }
                .filter { random.nextDouble() >= LOSS }
                .forEach { (peer, told) ->
                    schedule(random.nextLong(40, 130)) { peer.rollout?.mergePeer("gateway-$index", run, told) }
                }
            schedule(REPORT) { report(mine) }
        }

        fun send(route: Int) {
            val mine = rollout ?: return
            val name = "route-$route"
            val usable = endpoints.filter { it.running < SLOTS && mine.mayUse(name, it.listed) }
            val preferred = usable.filter { mine.isTargetDue(name) && mine.isTarget(it.listed) }
            val endpoint = preferred.ifEmpty { usable }.minByOrNull { it.cost() } ?: return
            val isTarget = mine.isTarget(endpoint.listed)
            mine.recordSend(name, endpoint.listed)
            val now = clock.monotonicMilliseconds()
            if (now <= LIMIT) sends++
            if (isTarget) {
                targetSends++
                lastTargetSendAt = now
            }
            run(mine, endpoint, route, isTarget)
        }

        private fun run(mine: PoolRollout, endpoint: Endpoint, route: Int, isTarget: Boolean) {
            val conditions =
                AnswerConditions(
                    isTarget,
                    route,
                    clock.monotonicMilliseconds(),
                    endpoint.running,
                    endpoints.indexOf(endpoint),
                )
            val isFailure = random.nextDouble() < case.failureShare(conditions)
            val slowness = case.slowness(conditions)
            val noise = exp(0.25 * random.asJavaRandom().nextGaussian())
            val first = 100.0 * (route + 1) * endpoint.speed * (1 + 0.5 * endpoint.running / SLOTS) * slowness * noise
            val interval = 20.0 * endpoint.speed * (1 + 0.5 * endpoint.running / SLOTS) * slowness * noise
            endpoint.running++
            if (!isTarget) openOnPrevious++
            val duration = if (isFailure) first / 2 else first + EVENTS * interval
            schedule(duration.toLong()) {
                endpoint.running--
                if (isTarget && (isFailure || slowness > 2)) countBad()
                if (rollout !== mine) return@schedule
                if (!isTarget) openOnPrevious--
                val result = if (isFailure) AnswerResult.FAILURE else AnswerResult.SUCCESS
                val listed = endpoint.listed
                mine.recordAnswer(
                    RolloutAnswer("route-$route", listed.id, listed.version!!, result, first.toLong(), interval),
                )
            }
        }

        private fun countBad() {
            if (++bad == 50) fiftiethBadAt = clock.monotonicMilliseconds()
        }
    }

    private class Event(val at: Long, val number: Long, val action: () -> Unit)

    companion object {
        const val LIMIT = 12_000L
        val LIMITS = RolloutLimits(0.1, 50, 5_000)
        private const val ENDPOINTS = 12
        private const val SLOTS = 24
        private const val EVENTS = 20
        private const val LOSS = 0.05
        private const val REPORT = 200L
        private const val REVIEW = 100L
        private const val WRITE_DELAY = 300L
        private const val START_SPREAD = 200L
        private val CUT = 4_000L..9_500L
    }
}
