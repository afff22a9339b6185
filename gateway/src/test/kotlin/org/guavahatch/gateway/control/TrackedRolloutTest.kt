package org.guavahatch.gateway.control

import org.guavahatch.model.time.ManualClock
import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.rollout.PoolRollout
import org.guavahatch.scheduling.rollout.RolloutLimits
import org.guavahatch.scheduling.rollout.RolloutOrder
import org.guavahatch.scheduling.rollout.RolloutPhase
import org.guavahatch.scheduling.rollout.RolloutRecord
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class TrackedRolloutTest {
    private class OrderCase(
        val phase: RolloutPhase,
        val target: String,
        val listed: Set<String>,
        vararg val withdrawn: String,
    )

    // Guards against requests at endpoints that are bad or stopped, but still listed when the next order arrives.
    @Test
    fun `an order uses neither the version that was rolled back before nor those that were replaced`() = listOf(
        OrderCase(RolloutPhase.ROLLED_BACK, "v3", setOf("v0", "v1", "v2"), "v0", "v2"),
        OrderCase(RolloutPhase.ROLLED_BACK, "v2", setOf("v0", "v1", "v2"), "v0"),
        OrderCase(RolloutPhase.RUNNING, "v3", setOf("v1", "v2"), "v2"),
        OrderCase(RolloutPhase.COMPLETED, "v3", setOf("v0", "v1", "v2"), "v0", "v1"),
        OrderCase(RolloutPhase.COMPLETED, "v3", setOf("v2"), "v1"),
        OrderCase(RolloutPhase.COMPLETED, "v1", setOf("v0", "v2"), "v0"),
    ).forEach { case ->
        val order = RolloutOrder("pool", "v2", 12_000, 7)
        val record = RolloutRecord(order, case.phase, setOf("v1"))
        val rollout = PoolRollout(order, RolloutLimits(0.1, 50, 5_000), ManualClock(0), Random(1), false, "1")
        val tracked = TrackedRollout(rollout.apply { onRecord(record, 0) }).apply { withdrawn = setOf("v0") }
        val expected = case.withdrawn.toSet()
        assertEquals(expected, tracked.withdrawnFor(case.target, case.listed), "${case.phase}, order of ${case.target}")
        val afterRestart = TrackedRollout.withdrawnAfter(record, setOf("v0")) - case.target
        assertEquals(expected + "v0", afterRestart, "${case.phase}, order of ${case.target}, restarted")
    }

    @Test
    fun `a silent peer may use the old side until it has had time to read a stored promotion`() {
        val clock = ManualClock(50_000)
        val peers = PeerTable(clock, silenceMilliseconds = 300).apply { setMembers(setOf("peer")) }
        val order = RolloutOrder("pool", "v2", 12_000, 7)
        val tracked = TrackedRollout(
            PoolRollout(order, RolloutLimits(0.1, 50, 5_000), clock, Random(1), isRecentlyStarted = false, "1"),
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
