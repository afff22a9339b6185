package org.guavahatch.scheduling.rollout

import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.time.Clock
import kotlin.random.Random

/**
 * The decisions of one gateway about one rollout. Not thread-safe; all calls come from the event loop.
 *
 * Until [onRecord] or [mergePeer] has told the phase of this order, and again after a clock gap, no request goes to the
 * target version. None goes to the old side either, for a second at most after a clock gap and for
 * [RolloutLimits.rollbackMilliseconds] at most after a restart. The gateway that creates the record calls [onRecord]
 * with it.
 *
 * @param order the order to carry out
 * @property limits limits on the exposure of the target version
 * @property clock source of monotonic time
 * @property random source of random rounding
 * @property isRecentlyStarted whether the gateway may have run before with the same order; it then gets no slack
 * @param incarnation identifier of this run of the gateway, unique among all gateways
 */
public class PoolRollout(
    order: RolloutOrder,
    private val limits: RolloutLimits,
    private val clock: Clock,
    random: Random,
    private val isRecentlyStarted: Boolean,
    incarnation: String,
) {
    /** The order that is carried out; replaced only by [continueWith]. */
    public var order: RolloutOrder = order
        private set

    /** Current phase at this gateway. */
    public var phase: RolloutPhase = RolloutPhase.RUNNING
        private set

    /** Why the rollout is in its [phase]; empty while it runs. */
    public var reason: String = ""
        private set

    /** Whether the phase is an end that the record in the store confirms, so that it need not be read again. */
    public var isEndStored: Boolean = false
        private set

    private val exposure = ExposureLimit(limits, random, isRecentlyStarted)
    private val endpoints = PoolEndpoints(order.targetVersion)
    private var canaries = CanarySelection(limits.exposureShare, order.revision)
    private val ledger = EvidenceLedger(clock, incarnation)
    private val slices = EvidenceSlices()
    private val peers = PeerPhases(clock)
    private val firstRevision = order.revision
    private var times = RolloutTimes(order.durationMilliseconds)
    private var judge = RolloutJudge(order.durationMilliseconds)
    private var startedAt = clock.monotonicMilliseconds()
    private var judgedChanges = 0L
    private var gateways = 1
    private var knowsPhase = false
    private var unknownSince = startedAt
    private var hasMissedReplacedOrders = isRecentlyStarted
    private var mayHaveMissedEnd = isRecentlyStarted
    private var uninformedAt = startedAt
    private var peersTrustedFrom = startedAt
    private var recordHeardAt: Long? = null
    private var reviewedAt: Long? = null
    private var ownOpenOnPrevious: Int? = null
    private var recordedPrevious: Set<String> = emptySet()
    private var listedPrevious: Set<String> = emptySet()
    private var replacedVersions: Set<String> = emptySet()

    /**
     * Replaces the order by a [newer] one to the same version, with the same counters. Returns false if this is
     * impossible, as the rollout has ended or the version differs; the caller then creates another [PoolRollout].
     */
    public fun continueWith(newer: RolloutOrder): Boolean {
        val isSame = newer.pool == order.pool && newer.targetVersion == order.targetVersion
        if (phase.isEnd || !isSame || newer.revision <= order.revision) return false
        order = newer
        times = RolloutTimes(newer.durationMilliseconds)
        judge = RolloutJudge(newer.durationMilliseconds)
        canaries = CanarySelection(limits.exposureShare, newer.revision)
        canaries.update(endpoints.target, endpoints.previous)
        startedAt = clock.monotonicMilliseconds()
        recordHeardAt = null
        peers.clear()
        forgetPhase(startedAt)
        mayHaveMissedEnd = false
        enter(RolloutPhase.RUNNING, "")
        return true
    }

    /** Replaces the list of the pool's endpoints. Other pools' endpoints are ignored. */
    public fun updateEndpoints(listed: Collection<ListedEndpoint>) {
        endpoints.update(listed.filter { it.pool == order.pool })
        canaries.update(endpoints.target, endpoints.previous)
        if (!phase.isEnd) listedPrevious = listedPrevious + endpoints.previous.mapNotNull { it.version }
        noteReplacedVersions()
    }

    /** The record names only the versions that its writer knew, and a version may come after it was written. */
    private fun noteReplacedVersions() {
        if (!knowsPhase || phase.isEnd) return
        replacedVersions = replacedVersions + endpoints.previous.mapNotNull { it.version }
    }

    /** Sets the number of gateways, including this one, that share the slack. */
    public fun updateGateways(registered: Int) {
        gateways = registered
        exposure.updateGateways(registered)
    }

    /**
     * Adopts [record], read or written [elapsedMilliseconds] after the start of the rollout by the store's clock.
     * The record of an older order is ignored. That of a newer one stops sends to the target version.
     */
    public fun onRecord(record: RolloutRecord, elapsedMilliseconds: Long) {
        val now = clock.monotonicMilliseconds()
        if (record.order.pool != order.pool || record.order.revision < order.revision) return
        if (record.order.revision > order.revision) return forgetPhase(now)
        startedAt = now - elapsedMilliseconds
        recordHeardAt = now
        notePhaseKnown()
        recordedPrevious = record.previousVersions
        val isAhead = record.phase == RolloutPhase.PROMOTING && phase == RolloutPhase.RUNNING
        if (record.phase != phase && (record.phase.isEnd || isAhead)) enter(record.phase, FROM_RECORD)
        isEndStored = record.phase.isEnd
        noteReplacedVersions()
    }

    /** Notes that the process did not run for some time, so that what it knows may be out of date. */
    public fun onClockGap() {
        val now = clock.monotonicMilliseconds()
        forgetPhase(now)
        mayHaveMissedEnd = true
        // Datagrams that arrived before the gap ended are handled first.
        peersTrustedFrom = now + REPORT_INTERVAL
        reviewedAt = now
    }

    private fun notePhaseKnown() {
        knowsPhase = true
        hasMissedReplacedOrders = false
    }

    private fun forgetPhase(now: Long) {
        knowsPhase = false
        unknownSince = now
        uninformedAt = now
    }

    /** Returns an ended gateway lifetime to tell peers about, each known one in turn, or null. */
    public fun nextEndedLifetime(): LifetimeEvidence? = ledger.nextEnded()

    /** Merges [report] of the lifetime [incarnation] of [gateway]. Late and repeated reports have no effect. */
    public fun mergePeer(gateway: String, incarnation: String, report: RolloutReport) {
        if (report.pool != order.pool || report.targetVersion != order.targetVersion) return
        if (report.revision !in firstRevision..order.revision) return
        report.endedLifetime?.let(ledger::mergeEnded)
        val isCurrent = ledger.merge(EvidenceLedger.Lifetime(gateway, incarnation), report.evidence)
        val now = clock.monotonicMilliseconds()
        if (!isCurrent || report.revision != order.revision || now < peersTrustedFrom) return
        if (report.reason == UNKNOWN_PHASE) return
        peers.record(gateway, report)
        notePhaseKnown()
        // Of two ends that are heard, the first one stays until the record tells which one stands.
        if (!phase.isEnd && report.phase > phase) enter(report.phase, report.reason)
        noteReplacedVersions()
    }

    /** Whether [endpoint] has the target version. */
    public fun isTarget(endpoint: ListedEndpoint): Boolean = endpoint.version == order.targetVersion

    /**
     * Whether the next request of [route] should go to the target version if an endpoint of it can take the request:
     * the caller first chooses among the candidates for which [isTarget] and [mayUse] hold, and among the others for
     * which [mayUse] holds if these cannot take it. Without side effects.
     */
    public fun isTargetDue(route: String): Boolean = when (phase) {
        RolloutPhase.RUNNING -> isNothingToMove || (mayTest() && exposure.allowsTarget(route))
        RolloutPhase.PROMOTING, RolloutPhase.COMPLETED -> true
        RolloutPhase.ROLLED_BACK -> false
    }

    /**
     * Whether the next request of [route] may be sent to [endpoint]. Without side effects. After the end this only
     * excludes what was stopped or withdrawn: the replaced versions of a completed rollout, the target of another.
     */
    public fun mayUse(route: String, endpoint: ListedEndpoint): Boolean = when (phase) {
        RolloutPhase.RUNNING -> isNothingToMove || mayUseWhileRunning(route, endpoint)
        RolloutPhase.PROMOTING -> mayUseWhilePromoting(endpoint)
        RolloutPhase.COMPLETED -> isTarget(endpoint) || isOfLaterVersion(endpoint)
        RolloutPhase.ROLLED_BACK -> !isTarget(endpoint)
    }

    /** Versions of the old side, as far as they are known here. */
    public val previousVersions: Set<String>
        get() = replacedVersions + recordedPrevious.ifEmpty { listedPrevious }

    /** Whether [endpoint] has a version that the rollout did not replace: a release without an order came after it. */
    private fun isOfLaterVersion(endpoint: ListedEndpoint): Boolean {
        val version = endpoint.version ?: return false
        return version !in replacedVersions && version !in recordedPrevious.ifEmpty { listedPrevious }
    }

    private fun isCanary(endpoint: ListedEndpoint) = endpoint.id in canaries.canaries(elapsed(), times.verdictAfter)

    private fun mayUseWhileRunning(route: String, endpoint: ListedEndpoint): Boolean =
        if (isTarget(endpoint)) isCanary(endpoint) && isTargetDue(route) else !(mayHaveMissedEnd && isHeldBack())

    private fun mayUseWhilePromoting(endpoint: ListedEndpoint): Boolean {
        if (mayTest()) return isTarget(endpoint) || endpoints.target.isEmpty()
        return !isTarget(endpoint) && !isHeldBack()
    }

    /**
     * The rollout may have been completed while this gateway did not run, and old endpoints get no request then. After
     * a restart the old side may also have a version that was rolled back, which must not get requests for longer than
     * a rollback takes.
     */
    private fun isHeldBack(): Boolean {
        val sinceUnknown = clock.monotonicMilliseconds() - unknownSince
        val longest = if (hasMissedReplacedOrders) limits.rollbackMilliseconds else HOLD_BACK
        return hasMissedReviews() || (!knowsPhase && sinceUnknown <= longest)
    }

    /** Whether what this gateway knows of the rollout is recent enough to send requests to the target version. */
    private fun mayTest(): Boolean {
        if (!knowsPhase || hasMissedReviews()) return false
        if (elapsed() >= times.limit) return phase == RolloutPhase.PROMOTING && !isIsolated()
        return phase == RolloutPhase.PROMOTING || !isUnheardFor((limits.rollbackMilliseconds * UNHEARD_SHARE).toLong())
    }

    private fun hasMissedReviews() = reviewedAt?.let { clock.monotonicMilliseconds() - it > LONGEST_GAP } == true

    /** Whether what this gateway decides alone may be contrary to what the others have decided meanwhile. */
    private fun isIsolated() = isUnheardFor(ISOLATED_AFTER)

    /** Whether neither the store nor any peer was heard for [milliseconds], although there are peers. */
    private fun isUnheardFor(milliseconds: Long): Boolean {
        val heardAt = listOfNotNull(recordHeardAt, peers.heardAt).maxOrNull() ?: startedAt
        return gateways > 1 && clock.monotonicMilliseconds() - heardAt > milliseconds
    }

    private fun elapsed() = clock.monotonicMilliseconds() - startedAt

    /**
     * Whether all endpoints already have the target version. An old side that was lost during the rollout is another
     * case; a gateway that started lately cannot tell them apart before it reads the record.
     */
    private val isNothingToMove: Boolean
        get() = endpoints.target.isNotEmpty() &&
            !endpoints.hasHadPrevious &&
            recordedPrevious.isEmpty() &&
            (knowsPhase || !isRecentlyStarted)

    /** Records a send to the pool: a first send, a retry, or a resumed stream. */
    public fun recordSend(route: String, endpoint: ListedEndpoint): Unit =
        exposure.recordSend(route, isTarget(endpoint))

    /** Records how a send ended. */
    public fun recordAnswer(answer: RolloutAnswer) {
        val isTarget = answer.version == order.targetVersion
        ledger.record(answer, isTarget, if (isTarget) null else endpoints.bucketOf(answer.endpoint))
    }

    /** Returns the report for peers; [openOnPrevious] is the number of own requests open on the old side. */
    public fun report(openOnPrevious: Int): RolloutReport {
        ownOpenOnPrevious = openOnPrevious
        val told = if (knowsPhase || phase.isEnd) reason else UNKNOWN_PHASE
        val evidence = ledger.ownCounts()
        return RolloutReport(order.pool, order.targetVersion, order.revision, phase, told, openOnPrevious, evidence)
    }

    /**
     * Evaluates the evidence and the time limit; to be called about every 100 ms. Returns the change of phase that this
     * gateway decides now, if any. A phase adopted from a peer is not returned, but is to be written to the store too.
     *
     * @param peersOpenOnPrevious requests of peers that are open on endpoints of the old side
     */
    public fun review(peersOpenOnPrevious: Int): RolloutTransition? {
        val now = clock.monotonicMilliseconds()
        if (hasMissedReviews()) onClockGap()
        reviewedAt = now
        val evidence = RolloutJudge.Evidence(slices.update(ledger.total, now), ledger.total, endpoints.previousBuckets)
        val transition = decide(evidence, peersOpenOnPrevious) ?: return null
        enter(transition.phase, transition.reason)
        return transition
    }

    private fun decide(evidence: RolloutJudge.Evidence, peersOpenOnPrevious: Int): RolloutTransition? {
        if (phase.isEnd) return null
        if (isNothingToMove) return RolloutTransition(RolloutPhase.COMPLETED, "nothing-to-move", "")
        if (!knowsPhase) return null
        findBad(evidence)?.let { return RolloutTransition(RolloutPhase.ROLLED_BACK, it.reason, it.evidence) }
        if (isIsolated()) {
            uninformedAt = clock.monotonicMilliseconds()
            return null
        }
        return if (phase == RolloutPhase.RUNNING) decideRunning(evidence) else decidePromoting(peersOpenOnPrevious)
    }

    private fun findBad(evidence: RolloutJudge.Evidence): RolloutJudge.Finding? {
        if (ledger.changes == judgedChanges) return null
        judgedChanges = ledger.changes
        return judge.findBad(evidence)
    }

    private fun decideRunning(evidence: RolloutJudge.Evidence): RolloutTransition? {
        if (elapsed() < times.verdictAfter) return null
        val answers = evidence.targetAnswers
        val waited = (elapsed() - times.verdictAfter).toDouble() / (times.endAfter - times.verdictAfter)
        val suspicion = judge.findSuspicion(evidence, waited)
        val figures = "$answers answers of the target" + suspicion?.let { "; ${it.reason}, ${it.evidence}" }.orEmpty()
        // A gateway that was cut off or frozen has first to hear what the others saw meanwhile.
        val isInformed = clock.monotonicMilliseconds() - uninformedAt >= CATCH_UP
        val isGood = isInformed && answers >= LEAST_ANSWERS && suspicion == null && endpoints.target.isNotEmpty()
        return when {
            elapsed() >= times.endAfter -> RolloutTransition(RolloutPhase.ROLLED_BACK, "time-limit", figures)
            isGood -> RolloutTransition(RolloutPhase.PROMOTING, "good", figures)
            else -> null
        }
    }

    private fun decidePromoting(peersOpenOnPrevious: Int): RolloutTransition? {
        val isDrained = ownOpenOnPrevious == 0 && peersOpenOnPrevious == 0 && peers.haveLeftPrevious()
        return when {
            isDrained -> RolloutTransition(RolloutPhase.COMPLETED, "drained", "")
            elapsed() >= times.endAfter -> RolloutTransition(
                RolloutPhase.COMPLETED,
                "time-limit",
                "open on the old side: own $ownOpenOnPrevious, peers $peersOpenOnPrevious",
            )
            else -> null
        }
    }

    private fun enter(next: RolloutPhase, cause: String) {
        phase = next
        reason = cause
        ownOpenOnPrevious = null
    }

    private companion object {
        const val FROM_RECORD = "record"

        /** Reason in reports of a gateway that does not know the phase itself. */
        const val UNKNOWN_PHASE = "unknown-phase"

        /** Fewer answers show neither failures of 1 in 10 nor slowness. */
        const val LEAST_ANSWERS = 30L

        /** Peers report each 200 ms. */
        const val REPORT_INTERVAL = 200L

        /** A gateway that missed ten reviews may have missed a rollback. */
        const val LONGEST_GAP = 1_000L

        /** Time in which a record is read and several reports arrive. */
        const val HOLD_BACK = 1_000L

        /** Five reports of each peer; some of them may be lost. */
        const val CATCH_UP = 1_000L

        /** The others find a version bad in the rest of the time allowed for a rollback. */
        const val UNHEARD_SHARE = 0.6

        /** Two reads of the record and ten reports of each peer. */
        const val ISOLATED_AFTER = 2_000L
    }
}
