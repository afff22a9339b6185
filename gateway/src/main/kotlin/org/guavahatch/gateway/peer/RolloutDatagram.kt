package org.guavahatch.gateway.peer

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.guavahatch.scheduling.rollout.EvidenceCounts
import org.guavahatch.scheduling.rollout.EvidenceKey
import org.guavahatch.scheduling.rollout.LifetimeEvidence
import org.guavahatch.scheduling.rollout.RolloutPhase
import org.guavahatch.scheduling.rollout.RolloutReport

/**
 * A rollout in a [PeerDatagram].
 *
 * @property pool name of the endpoint pool
 * @property targetVersion version that is to get the traffic
 * @property revision revision of the order
 * @property phase number of the phase, from 0: running, promoting, completed, rolled back
 * @property reason why it is in that phase
 * @property openOnPrevious requests of the sender that are open on endpoints of the old side
 * @property evidence answers that the sender has seen
 * @property withdrawnVersions versions that earlier orders have rolled back or replaced
 * @property endedLifetime answers seen in an earlier run of a gateway, or null
 */
@Serializable
internal class RolloutDatagram(
    @CborLabel(1) val pool: String,
    @CborLabel(2) val targetVersion: String,
    @CborLabel(3) val revision: Long,
    @CborLabel(4) val phase: Int,
    @CborLabel(5) val reason: String = "",
    @CborLabel(6) val openOnPrevious: Int = 0,
    @CborLabel(7) val evidence: List<ObservedAnswers> = emptyList(),
    @CborLabel(8) val withdrawnVersions: List<String> = emptyList(),
    @CborLabel(9) val endedLifetime: EndedLifetime? = null,
) {
    /** The report, or null if this gateway does not know its phase or its counts are invalid. */
    fun toReport(): RolloutReport? {
        val knownPhase = RolloutPhase.entries.getOrNull(phase) ?: return null
        if (openOnPrevious < 0 || evidence.any { !it.isValid }) return null
        return RolloutReport(
            pool,
            targetVersion,
            revision,
            knownPhase,
            reason,
            openOnPrevious,
            ObservedAnswers.toEvidence(evidence),
            withdrawnVersions.toSet(),
            endedLifetime?.toEvidence(),
        )
    }

    companion object {
        /** The datagram field for [report]. */
        fun of(report: RolloutReport): RolloutDatagram = RolloutDatagram(
            report.pool,
            report.targetVersion,
            report.revision,
            report.phase.ordinal,
            report.reason,
            report.openOnPrevious,
            ObservedAnswers.of(report.evidence),
            report.withdrawnVersions.sorted(),
            report.endedLifetime?.let { EndedLifetime(it.gateway, it.incarnation, ObservedAnswers.of(it.evidence)) },
        )
    }
}

/**
 * Answers that a gateway has seen in an earlier run of its process, in a [RolloutDatagram].
 *
 * @property gateway name of the gateway
 * @property incarnation identifier of the run
 * @property evidence answers seen in that run
 */
@Serializable
internal class EndedLifetime(
    @CborLabel(1) val gateway: String,
    @CborLabel(2) val incarnation: String,
    @CborLabel(3) val evidence: List<ObservedAnswers> = emptyList(),
) {
    /** The evidence, or null if its counts are invalid. */
    fun toEvidence(): LifetimeEvidence? {
        if (evidence.any { !it.isValid }) return null
        return LifetimeEvidence(gateway, incarnation, ObservedAnswers.toEvidence(evidence))
    }
}

/**
 * Answers of one route and side in a [RolloutDatagram]. Histograms leave out zeros at their end.
 *
 * @property route name of the route
 * @property isTarget whether the answers came from the target version
 * @property counts answers, failures and lost ones
 * @property firstEventBuckets histogram of the time to the first event
 * @property eventIntervalBuckets histogram of the time between events
 * @property endpointBuckets timed answers by a hash of the endpoint
 */
@Serializable
internal class ObservedAnswers(
    @CborLabel(1) val route: String,
    @CborLabel(2) val isTarget: Boolean,
    @CborLabel(3) val counts: List<Long>,
    @CborLabel(4) val firstEventBuckets: List<Long> = emptyList(),
    @CborLabel(5) val eventIntervalBuckets: List<Long> = emptyList(),
    @CborLabel(6) val endpointBuckets: List<Long> = emptyList(),
) {
    /** Whether all counts are there and none is negative. */
    val isValid: Boolean
        get() = counts.size >= COUNTS &&
            listOf(counts, firstEventBuckets, eventIntervalBuckets, endpointBuckets).all { list ->
                list.all { it >= 0 }
            }

    fun toCounts(): EvidenceCounts = EvidenceCounts(
        counts[0],
        counts[1],
        counts[2],
        firstEventBuckets.toImmutableList(),
        eventIntervalBuckets.toImmutableList(),
        endpointBuckets.toImmutableList(),
    )

    companion object {
        private const val COUNTS = 3

        fun of(evidence: Map<EvidenceKey, EvidenceCounts>): List<ObservedAnswers> =
            evidence.map { (key, counts) -> of(key, counts) }

        fun toEvidence(observed: List<ObservedAnswers>): Map<EvidenceKey, EvidenceCounts> =
            observed.associate { EvidenceKey(it.route, it.isTarget) to it.toCounts() }

        private fun of(key: EvidenceKey, counts: EvidenceCounts): ObservedAnswers = ObservedAnswers(
            key.route,
            key.isTarget,
            listOf(counts.answers, counts.failures, counts.lost),
            trimmed(counts.firstEventBuckets),
            trimmed(counts.eventIntervalBuckets),
            trimmed(counts.endpointBuckets),
        )

        private fun trimmed(buckets: ImmutableList<Long>): List<Long> = buckets.dropLastWhile { it == 0L }
    }
}
