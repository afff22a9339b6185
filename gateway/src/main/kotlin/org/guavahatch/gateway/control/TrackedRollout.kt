package org.guavahatch.gateway.control

import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.rollout.PoolRollout
import org.guavahatch.scheduling.rollout.RolloutPhase
import org.guavahatch.scheduling.rollout.RolloutRecord
import org.guavahatch.scheduling.rollout.RolloutReport

/**
 * A rollout of one pool, and what its control keeps beside the decisions. All times are monotonic milliseconds.
 *
 * @property isFirst whether this gateway has seen no earlier order for the pool since it started
 */
internal class TrackedRollout(val rollout: PoolRollout, val isFirst: Boolean = true) {
    /**
     * Versions that earlier orders have tested and that did not complete, or that a completed one replaced. They get no
     * request: as part of the old side they would get most of them, though they are bad or stopped.
     */
    var withdrawn: Set<String> = emptySet()

    private val peerReports = HashMap<String, RolloutReport>()

    /** Last phase that was logged. */
    var loggedPhase: RolloutPhase = rollout.phase

    /** Figures behind the last transition that this gateway decided. */
    var evidence: String = ""

    /** Time of the last change of phase. */
    var changedAt: Long = 0

    /** Time at which the store was first seen to hold the promotion or a later phase; null before. */
    var promotionStoredAt: Long? = null

    /** Time of the last read of the record. */
    var readAt: Long = 0

    /** Whether the next request of [route] may be sent to [endpoint]. */
    fun mayUse(route: String, endpoint: ListedEndpoint): Boolean =
        endpoint.version !in withdrawn && rollout.mayUse(route, endpoint)

    /**
     * Versions that an order to [target] must not use, if it replaces this rollout. Of those that earlier rollouts have
     * left, only the [listed] ones are kept, as the set would grow with each order.
     */
    fun withdrawnFor(target: String, listed: Set<String>): Set<String> {
        val left = unused(rollout.phase, rollout.order.targetVersion, rollout.previousVersions)
        return withdrawn.intersect(listed) + left - target
    }

    /** Keeps the last [report] of the gateway [name]. */
    fun notePeer(name: String, report: RolloutReport) {
        peerReports[name] = report
    }

    /**
     * Requests of peers that are open, or may still be sent, on endpoints of the old side. A peer that has not reported
     * the promotion may still send one; a silent peer reads the record within [READ_MILLISECONDS] after it was written.
     */
    fun peersOpenOnPrevious(peers: PeerTable, now: Long): Int {
        val heard = peers.freshReports().sumOf { openOnPrevious(it.name) }
        val isSilentPeerInformed =
            promotionStoredAt?.let { now - it >= READ_MILLISECONDS + READ_MARGIN_MILLISECONDS } == true
        return heard + if (isSilentPeerInformed) 0 else peers.silentCount
    }

    private fun openOnPrevious(peer: String): Int {
        val report = peerReports[peer]?.takeIf { it.revision == rollout.order.revision } ?: return 1
        return if (report.phase == RolloutPhase.RUNNING) maxOf(1, report.openOnPrevious) else report.openOnPrevious
    }

    companion object {
        /** Versions that an order must not use, if it replaces the rollout of [record] and its [withdrawn] ones. */
        fun withdrawnAfter(record: RolloutRecord, withdrawn: Set<String>): Set<String> =
            withdrawn + unused(record.phase, record.order.targetVersion, record.previousVersions)

        /** Versions that get no request after a rollout that has come to [phase]. */
        private fun unused(phase: RolloutPhase, target: String, previous: Set<String>): Set<String> =
            if (phase == RolloutPhase.COMPLETED) previous else setOf(target)

        /** Interval at which the record is read until the rollout is over. */
        const val READ_MILLISECONDS = 1_000L

        /** Time for a read and for the sends that it is too late to prevent. */
        private const val READ_MARGIN_MILLISECONDS = 500L
    }
}
