package org.guavahatch.gateway.control

import org.guavahatch.model.time.ManualClock
import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.rollout.PoolRollout
import org.guavahatch.scheduling.rollout.RolloutLimits
import org.guavahatch.scheduling.rollout.RolloutOrder
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class TrackedRolloutTest {
    @Test
    fun `a silent peer may use the old side until it has had time to read a stored promotion`() {
        val clock = ManualClock(50_000)
        val peers = PeerTable(clock, silenceMilliseconds = 300).apply { setMembers(setOf("peer")) }
        val order = RolloutOrder("pool", "v2", 12_000, 7)
        val tracked = TrackedRollout(
            PoolRollout(order, RolloutLimits(0.1, 50, 5_000), clock, Random(1), isRecentlyStarted = false),
        )
        tracked.changedAt = clock.monotonicMilliseconds()
        fun openAfter(milliseconds: Long): Int {
            clock.advance(milliseconds)
            return tracked.peersOpenOnPrevious(peers, clock.monotonicMilliseconds())
        }
        assertEquals(1, openAfter(3_000), "promotion not stored yet")
        tracked.promotionStoredAt = clock.monotonicMilliseconds()
        assertEquals(1, openAfter(1_400), "stored for 1,400 ms")
        assertEquals(0, openAfter(100), "stored for 1,500 ms")
    }
}
