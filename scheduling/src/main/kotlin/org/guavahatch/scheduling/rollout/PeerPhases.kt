package org.guavahatch.scheduling.rollout

import org.guavahatch.model.time.Clock

/** The phases that peers have announced, and whether they still use the old side. */
internal class PeerPhases(private val clock: Clock) {
    private val peers = HashMap<String, Announcement>()

    /** When the latest report was heard, or null. */
    var heardAt: Long? = null
        private set

    fun record(gateway: String, report: RolloutReport) {
        val now = clock.monotonicMilliseconds()
        heardAt = now
        peers[gateway] = Announcement(report.phase, report.openOnPrevious, now)
    }

    /** Whether no peer heard recently may send to the old side or has a request open there. */
    fun haveLeftPrevious(): Boolean {
        val now = clock.monotonicMilliseconds()
        return peers.values.filter { now - it.at <= RECENT }.none {
            it.phase == RolloutPhase.RUNNING ||
                it.openOnPrevious > 0
        }
    }

    fun clear() = peers.clear()

    private class Announcement(val phase: RolloutPhase, val openOnPrevious: Int, val at: Long)

    private companion object {
        /** Five reports; some of them may be lost. */
        const val RECENT = 1_000L
    }
}
