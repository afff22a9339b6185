package org.guavahatch.gateway.control

import io.netty.channel.EventLoop
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.gateway.observation.RolloutMetrics
import org.guavahatch.gateway.settings.RolloutSettings
import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.rollout.PoolRollout
import org.guavahatch.scheduling.rollout.RolloutAnswer
import org.guavahatch.scheduling.rollout.RolloutLimits
import org.guavahatch.scheduling.rollout.RolloutOrder
import org.guavahatch.scheduling.rollout.RolloutPhase
import org.guavahatch.scheduling.rollout.RolloutRecord
import org.guavahatch.scheduling.rollout.RolloutReport
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Owns the rollouts of a gateway by pool: runs their reviews, logs their changes, and passes changes on to the store
 * and, as reports, to the peers. All calls must come on the event loop's thread.
 *
 * @property settings limits of rollouts; null if rollouts are not carried out
 * @property incarnation identifier of this run of the gateway
 * @property clockGaps number of gaps seen in the clock
 */
class RolloutControl(
    private val settings: RolloutSettings?,
    private val loop: EventLoop,
    private val clock: Clock,
    private val random: Random,
    private val log: DecisionLog,
    private val peers: PeerTable,
    private val incarnation: String,
    private val clockGaps: () -> Int,
) {
    private val tracked = HashMap<String, TrackedRollout>()
    private val endpoints = HashMap<EndpointId, ListedEndpoint>()
    private val openSends = OpenSends()
    private val pending = LinkedHashMap<String, PendingOrder>()
    private var pools: Set<String>? = null
    private var reviewedAt = 0L
    private var knownClockGaps = 0
    private var isReviewing = false

    /** Keeps the records. */
    var store: RolloutStore? = null

    /** Receives counts of answers and phases. */
    var metrics: RolloutMetrics? = null

    /** States of the rollouts, for operators. */
    val states: List<RolloutState> get() = tracked.values.map { it.state() }

    /** The rollout of [pool] in the order that came last, or null if sends to the pool are not limited. */
    internal fun find(pool: String): TrackedRollout? {
        val found = tracked[pool] ?: return null
        detectGap()
        return found
    }

    /** The configuration in force names [names] as pools of its routes. */
    fun onPools(names: Set<String>) {
        pools = names
        val held = pending.values.toList()
        pending.clear()
        held.forEach { onOrdered(it.order, it.isAtStart) }
    }

    /** The store holds [order]; [isAtStart] if this gateway may have run before with the same order. */
    fun onOrdered(order: RolloutOrder, isAtStart: Boolean) {
        val known = pools
        when {
            settings == null -> refuse(order.pool, "rollouts are not in the settings")
            known == null -> pending[order.pool] = PendingOrder(order, isAtStart)
            order.pool !in known -> refuse(order.pool, "no route has this pool")
            tracked[order.pool]?.let { it.rollout.order.revision >= order.revision } == true -> Unit
            else -> begin(order, settings, isAtStart)
        }
    }

    /** An order for [pool] is not carried out, for [reason]. */
    fun refuse(pool: String, reason: String) = log.write("rollout.ignored") {
        put("pool", pool)
        put("reason", reason)
    }

    private fun begin(order: RolloutOrder, settings: RolloutSettings, isAtStart: Boolean) {
        val previous = tracked[order.pool]
        val isContinued = previous?.rollout?.continueWith(order) == true
        val current =
            if (isContinued) previous!! else TrackedRollout(newRollout(order, settings, isAtStart), previous == null)
        if (previous != null) current.withdrawn = previous.withdrawnFor(order.targetVersion, listedVersions(order.pool))
        tracked[order.pool] = current
        current.changedAt = clock.monotonicMilliseconds()
        current.promotionStoredAt = null
        current.loggedPhase = current.rollout.phase
        log.write("rollout.begun") {
            put("pool", order.pool)
            put("to", order.targetVersion)
            put("revision", order.revision)
            put("milliseconds", order.durationMilliseconds)
            put("continued", isContinued)
            put("at-start", isAtStart)
            if (previous != null && !isContinued) {
                put("replaced", previous.rollout.order.revision)
                put("replaced-phase", previous.rollout.phase.name.lowercase())
                put("withdrawn", current.withdrawn.sorted().joinToString(" "))
            }
        }
        metrics?.watchPhase(order.pool) { tracked[order.pool]?.rollout?.phase }
        current.rollout.updateEndpoints(usable(current))
        current.rollout.updateGateways(peers.gatewayCount)
        read(current)
        scheduleReviews()
    }

    private fun listedVersions(pool: String) =
        endpoints.values.filter { it.pool == pool }.mapNotNull { it.version }.toSet()

    private fun newRollout(order: RolloutOrder, settings: RolloutSettings, isAtStart: Boolean) = PoolRollout(
        order,
        RolloutLimits(settings.exposureShare, settings.exposureSlack, settings.rollbackMilliseconds),
        clock,
        random,
        isAtStart,
        incarnation,
    )

    /**
     * The store holds [record] for [pool] with the [withdrawn] versions, [elapsedMilliseconds] after the start of the
     * rollout by its clock; null if it holds none.
     */
    fun onRecord(pool: String, record: RolloutRecord?, withdrawn: Set<String>, elapsedMilliseconds: Long) {
        val current = tracked[pool] ?: return
        val order = current.rollout.order
        // A newer order than the one known here arrives with the feed.
        if (record != null && record.order.revision > order.revision) return
        if (record == null || record.order.revision < order.revision) {
            // A gateway that has not seen the replaced order learns from its record which versions get nothing more.
            if (record != null && current.isFirst) withdraw(current, TrackedRollout.withdrawnAfter(record, withdrawn))
            return save(current)
        }
        withdraw(current, withdrawn)
        current.rollout.onRecord(record, elapsedMilliseconds)
        if (record.phase >= RolloutPhase.PROMOTING && current.promotionStoredAt == null) {
            current.promotionStoredAt = clock.monotonicMilliseconds()
        }
        notePhase(current, "store")
        if (!record.phase.isEnd && record.phase != current.rollout.phase) save(current)
    }

    /** A gateway that has not seen the earlier orders learns from the record or a peer which versions they tested. */
    private fun withdraw(current: TrackedRollout, versions: Set<String>) {
        val added = versions - current.rollout.order.targetVersion
        if (current.withdrawn.containsAll(added)) return
        current.withdrawn += added
        current.rollout.updateEndpoints(usable(current))
    }

    /** The gateway [name] has sent [reports]. */
    fun onPeerReports(name: String, incarnation: String, reports: List<RolloutReport>) = reports.forEach { report ->
        val current = tracked[report.pool] ?: return@forEach
        if (report.revision == current.rollout.order.revision) withdraw(current, report.withdrawnVersions)
        current.notePeer(name, report)
        current.rollout.mergePeer(name, incarnation, report)
        if (notePhase(current, "peer")) save(current)
    }

    /** What the peers are to know. The end of a rollout is told to gateways that start later; its evidence is not. */
    fun reports(): List<RolloutReport> {
        val now = clock.monotonicMilliseconds()
        return tracked.values.map { current ->
            val report = current.rollout.report(openOnPrevious(current)).copy(withdrawnVersions = current.withdrawn)
            val isOver = current.rollout.phase.isEnd && now - current.changedAt >= EVIDENCE_MILLISECONDS
            if (isOver) {
                report.copy(evidence = emptyMap())
            } else {
                report.copy(endedLifetime = current.rollout.nextEndedLifetime())
            }
        }
    }

    /** [endpoint] was added or has changed. */
    fun onEndpointChanged(endpoint: ListedEndpoint) {
        val previous = endpoints.put(endpoint.id, endpoint)
        if (previous != null && previous.pool != endpoint.pool) updateEndpoints(previous.pool)
        updateEndpoints(endpoint.pool)
    }

    /** The endpoint [id] was removed. */
    fun onEndpointRemoved(id: EndpointId) {
        endpoints.remove(id)?.let { updateEndpoints(it.pool) }
    }

    private fun updateEndpoints(pool: String) = tracked[pool]?.let { it.rollout.updateEndpoints(usable(it)) }

    private fun usable(current: TrackedRollout) =
        endpoints.values.filter { it.pool == current.rollout.order.pool && it.version !in current.withdrawn }

    /**
     * A request of [route] is being sent to [endpoint]. A send to the target version counts from now on, so that the
     * requests that connect at the same time stay within the limit together.
     */
    fun onDispatched(route: String, endpoint: ListedEndpoint) {
        openSends.add(endpoint.pool, endpoint.version)
        val rollout = find(endpoint.pool)?.rollout ?: return
        if (rollout.isTarget(endpoint)) rollout.recordSend(route, endpoint)
    }

    /** The request of [route] was written to the connection to [endpoint]. */
    fun onSent(route: String, endpoint: ListedEndpoint) {
        val rollout = tracked[endpoint.pool]?.rollout ?: return
        if (!rollout.isTarget(endpoint)) rollout.recordSend(route, endpoint)
    }

    /** The send to [endpoint] has ended; [answer] tells how, or is null if it is no evidence. */
    fun onEnded(endpoint: ListedEndpoint, answer: RolloutAnswer?) {
        openSends.remove(endpoint.pool, endpoint.version)
        val rollout = tracked[endpoint.pool]?.rollout ?: return
        if (answer == null || rollout.phase.isEnd) return
        rollout.recordAnswer(answer)
        metrics?.countAnswer(endpoint.pool, rollout.isTarget(endpoint), answer.result)
    }

    private fun openOnPrevious(current: TrackedRollout) =
        current.rollout.order.let { openSends.countOther(it.pool, it.targetVersion) }

    private fun scheduleReviews() {
        if (isReviewing) return
        isReviewing = true
        reviewedAt = clock.monotonicMilliseconds()
        knownClockGaps = clockGaps()
        loop.scheduleWithFixedDelay(::review, REVIEW_MILLISECONDS, REVIEW_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun review() {
        detectGap()
        reviewedAt = clock.monotonicMilliseconds()
        tracked.values.toList().filter { !it.rollout.isEndStored }.forEach(::reviewOrLog)
    }

    /** An exception would end the reviews of all pools. */
    private fun reviewOrLog(current: TrackedRollout) = try {
        review(current)
    } catch (exception: RuntimeException) {
        log.write("rollout.failed") {
            put("pool", current.rollout.order.pool)
            put("reason", exception.toString())
        }
    }

    private fun review(current: TrackedRollout) {
        current.rollout.updateGateways(peers.gatewayCount)
        // Without peers nothing else tells the rollout how many requests are open on the old side.
        current.rollout.report(openOnPrevious(current))
        val transition = current.rollout.review(current.peersOpenOnPrevious(peers, clock.monotonicMilliseconds()))
        if (transition != null) {
            current.evidence = transition.evidence
            notePhase(current, "evidence")
            save(current)
        }
        if (clock.monotonicMilliseconds() - current.readAt >= TrackedRollout.READ_MILLISECONDS) read(current)
    }

    /** A late review or a jump of the wall clock tells that the process was frozen, and may have missed a verdict. */
    private fun detectGap() {
        val now = clock.monotonicMilliseconds()
        val gaps = clockGaps()
        if (gaps == knownClockGaps && now - reviewedAt <= MAXIMUM_REVIEW_DELAY_MILLISECONDS) return
        log.write("rollout.gap") { put("milliseconds", now - reviewedAt) }
        knownClockGaps = gaps
        reviewedAt = now
        tracked.values.filter { !it.rollout.isEndStored }.forEach {
            it.rollout.onClockGap()
            read(it)
        }
    }

    private fun read(current: TrackedRollout) {
        current.readAt = clock.monotonicMilliseconds()
        store?.read(current.rollout.order.pool)
    }

    private fun save(current: TrackedRollout) {
        val order = current.rollout.order
        val previous = usable(current).mapNotNull { it.version }.toSet() - order.targetVersion
        store?.save(RolloutRecord(order, current.rollout.phase, previous), current.withdrawn)
    }

    /** Logs a change of phase that came from [origin]; false if there was none. */
    private fun notePhase(current: TrackedRollout, origin: String): Boolean {
        val phase = current.rollout.phase
        if (phase == current.loggedPhase) return false
        val previous = current.loggedPhase
        current.loggedPhase = phase
        current.changedAt = clock.monotonicMilliseconds()
        log.write("rollout.phase") {
            put("pool", current.rollout.order.pool)
            put("to", current.rollout.order.targetVersion)
            put("revision", current.rollout.order.revision)
            put("phase", phase.name.lowercase())
            put("previous", previous.name.lowercase())
            put("reason", current.rollout.reason)
            put("origin", origin)
            if (origin == "evidence") put("evidence", current.evidence)
            put("open-on-previous", openOnPrevious(current))
            put("gateways-heard", peers.freshReports().size + 1)
            put("gateways", peers.gatewayCount)
        }
        return true
    }

    private fun TrackedRollout.state() = RolloutState(
        rollout.order,
        rollout.phase,
        rollout.reason,
        rollout.isEndStored,
        rollout.report(openOnPrevious(this)),
    )

    private class PendingOrder(val order: RolloutOrder, val isAtStart: Boolean)

    private companion object {
        /** Short compared with the time within which a bad version must be withdrawn. */
        const val REVIEW_MILLISECONDS = 100L

        /** Longer than pauses for garbage collection at full load; the verdict of peers arrives in less. */
        const val MAXIMUM_REVIEW_DELAY_MILLISECONDS = 1_000L

        /** Time after the end of a rollout for which its evidence is told, to peers that were cut off meanwhile. */
        const val EVIDENCE_MILLISECONDS = 60_000L
    }
}
