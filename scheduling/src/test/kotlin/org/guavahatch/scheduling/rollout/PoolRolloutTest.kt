package org.guavahatch.scheduling.rollout

import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.ManualClock
import org.guavahatch.scheduling.rollout.RolloutPhase.COMPLETED
import org.guavahatch.scheduling.rollout.RolloutPhase.PROMOTING
import org.guavahatch.scheduling.rollout.RolloutPhase.ROLLED_BACK
import org.guavahatch.scheduling.rollout.RolloutPhase.RUNNING
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** One failure each, at a single gateway. */
class PoolRolloutTest {
    private val clock = ManualClock(50_000)
    private val order = RolloutOrder("pool", "v2", 12_000, 7)
    private val old = endpoint("old-0", "v1")
    private val new = endpoint("new-0", "v2")

    private fun endpoint(name: String, version: String?) =
        ListedEndpoint(EndpointId(name), 1, "pool", name, "a", 8, isLeaving = false, version = version)

    private fun rollout(
        isRecentlyStarted: Boolean = false,
        listed: List<ListedEndpoint> = listOf(old, new),
        seed: Int = 1,
    ) = PoolRollout(order, RolloutLimits(0.1, 50, 5_000), clock, Random(seed), isRecentlyStarted, "own").apply {
        updateGateways(5)
        updateEndpoints(listed)
    }

    private fun PoolRollout.record(phase: RolloutPhase = RUNNING, revision: Long = 7, elapsed: Long = 0) =
        onRecord(RolloutRecord(order.copy(revision = revision), phase, setOf("v1")), elapsed)

    private fun report(
        phase: RolloutPhase = RUNNING,
        open: Int = 0,
        evidence: Map<EvidenceKey, EvidenceCounts> = emptyMap(),
        reason: String = "",
    ) = RolloutReport("pool", "v2", 7, phase, reason, open, evidence)

    private fun PoolRollout.peer(phase: RolloutPhase, open: Int = 0) = mergePeer("peer", "1", report(phase, open))

    /** Sends until the share of the target is due. */
    private fun PoolRollout.makeDue() = repeat(100) { if (!isTargetDue("r")) recordSend("r", old) }

    private fun PoolRollout.usesTarget(): Boolean {
        makeDue()
        return mayUse("r", new)
    }

    /** Advances with a review each 100 ms, and with a report of a running peer if [isHeard]; the first transition. */
    private fun PoolRollout.pass(milliseconds: Long, isHeard: Boolean = true): RolloutTransition? {
        repeat((milliseconds / 100).toInt()) {
            clock.advance(100)
            if (isHeard) peer(RUNNING)
            review(0)?.let { return it }
        }
        return null
    }

    @Test
    fun `a release after a completed rollout does not leave the pool without endpoints`() {
        val later = endpoint("later-0", "v3")
        val completed = rollout().apply { record(COMPLETED) }
        val startedLater = rollout(isRecentlyStarted = true, listed = listOf(new, later)).apply { record(COMPLETED) }
        listOf(completed, startedLater).forEach { rollout ->
            rollout.updateEndpoints(listOf(old, new, later))
            assertEquals(listOf(false, true, true), listOf(old, new, later).map { rollout.mayUse("r", it) })
        }
    }

    @Test
    fun `a version that was listed beside the target gets nothing after the end, though the record does not name it`() {
        val rollout = rollout().apply { record() }
        val other = endpoint("other-0", "v0")
        rollout.updateEndpoints(listOf(old, new, other))
        rollout.peer(COMPLETED)
        assertEquals(listOf(false, true, false), listOf(old, new, other).map { rollout.mayUse("r", it) })
    }

    @Test
    fun `a gateway that hears nobody keeps to its part of the exposure`() = repeat(200) { seed ->
        listOf(true, false).forEach { isRecentlyStarted ->
            val rollout = rollout(isRecentlyStarted, seed = seed).apply { record() }
            val random = Random(seed)
            var target = 0
            repeat(1_000) { sent ->
                val route = "r${random.nextInt(3)}"
                val endpoint = if (rollout.mayUse(route, new)) new.also { target++ } else old
                val allowed = if (isRecentlyStarted) 0.08 * sent else 0.08 * sent + 25 / 5 + 1
                assertTrue(target <= allowed, "seed $seed, restarted $isRecentlyStarted: $target of $sent")
                rollout.recordSend(route, endpoint)
            }
            assertTrue(target >= 75, "seed $seed: the target got only $target of 1000")
        }
    }

    @Test
    fun `a route with little traffic gets more than its share, within the limit of the pool`() {
        val rollout = rollout().apply { record() }
        val random = Random(1)
        val sends = HashMap<String, Int>()
        val target = HashMap<String, Int>()
        repeat(10_000) {
            val route = "aaaaabbbcc"[random.nextInt(10)].toString()
            val endpoint = if (rollout.mayUse(route, new)) new else old
            sends.merge(route, 1, Int::plus)
            if (endpoint == new) target.merge(route, 1, Int::plus)
            rollout.recordSend(route, endpoint)
        }
        assertTrue(target.values.sum() <= 0.08 * 10_000 + 25 / 5 + 1, "$target")
        val shares = sends.keys.sorted().map { target.getValue(it).toDouble() / sends.getValue(it) }
        assertTrue(shares[0] > 0.065 && shares[2] > 0.1 && shares[2] < 0.16, "$shares")
    }

    @Test
    fun `a request whose share is due keeps the old side, and asking changes nothing`() {
        val rollout = rollout().apply { record() }
        rollout.makeDue()
        repeat(100) { assertTrue(rollout.isTargetDue("r") && rollout.mayUse("r", new) && rollout.mayUse("r", old)) }
        rollout.recordSend("r", new)
        repeat(30) { if (rollout.isTargetDue("r")) rollout.recordSend("r", new) }
        assertFalse(rollout.mayUse("r", new))
        assertTrue(rollout.mayUse("r", old))
    }

    @Test
    fun `nothing goes to the target before the phase is known and after a gap`() {
        val rollout = rollout()
        assertFalse(rollout.usesTarget(), "before the record")
        rollout.record(revision = 6)
        assertFalse(rollout.usesTarget(), "record of an older order")
        rollout.mergePeer("peer", "1", rollout().report(0))
        assertFalse(rollout.usesTarget(), "a peer that does not know the phase either")
        rollout.record()
        assertTrue(rollout.usesTarget(), "record read")
        rollout.review(0)
        clock.advance(1_500)
        assertFalse(rollout.usesTarget(), "no review for 1,500 ms")
        rollout.review(0)
        rollout.peer(RUNNING)
        assertFalse(rollout.usesTarget(), "a datagram from before the end of the gap")
        rollout.pass(300)
        assertTrue(rollout.usesTarget(), "a peer heard after the gap")
        rollout.record(revision = 8)
        assertFalse(rollout.usesTarget(), "record of a newer order")
    }

    @Test
    fun `each phase allows its side only`() = listOf(
        Triple(RUNNING, true, true),
        Triple(PROMOTING, false, true),
        Triple(COMPLETED, false, true),
        Triple(ROLLED_BACK, true, false),
    ).forEach { (phase, allowsOld, allowsNew) ->
        val rollout = rollout().apply { record(phase) }
        rollout.makeDue()
        assertEquals(allowsOld, rollout.mayUse("r", old), "$phase, old side")
        assertEquals(allowsOld, rollout.mayUse("r", endpoint("old-1", null)), "$phase, no version")
        assertEquals(allowsNew, rollout.mayUse("r", new), "$phase, target")
        rollout.updateEndpoints(listOf(old, new.copy(isLeaving = true)))
        assertEquals(allowsOld || phase == PROMOTING, rollout.mayUse("r", old), "$phase, no usable target")
    }

    /** @property told phases that are told in turn, by the record (true) or by a peer */
    private class PhaseCase(val expected: RolloutPhase, vararg val told: Pair<RolloutPhase, Boolean>)

    @Test
    fun `the record stands over what peers announce, and rolled back over what is not ended`() = listOf(
        PhaseCase(ROLLED_BACK, PROMOTING to false, ROLLED_BACK to false, PROMOTING to false, RUNNING to true),
        PhaseCase(COMPLETED, ROLLED_BACK to false, COMPLETED to true, ROLLED_BACK to false),
        PhaseCase(ROLLED_BACK, COMPLETED to false, ROLLED_BACK to true, COMPLETED to false),
        PhaseCase(COMPLETED, COMPLETED to false, ROLLED_BACK to false),
        PhaseCase(PROMOTING, PROMOTING to false, RUNNING to true, RUNNING to false),
    ).forEach { case ->
        val rollout = rollout()
        case.told.forEach { (phase, isRecord) -> if (isRecord) rollout.record(phase) else rollout.peer(phase) }
        assertEquals(case.expected, rollout.phase, case.told.joinToString())
        val isStored = case.told.any { (phase, isRecord) -> isRecord && phase == case.expected }
        assertEquals(isStored, rollout.isEndStored, case.told.joinToString())
    }

    @Test
    fun `late reports are stale and a new lifetime adds to the earlier one`() {
        val key = EvidenceKey("r", isTarget = true)
        val ledger = EvidenceLedger(clock, "own")
        fun merge(incarnation: String, answers: Long, failures: Long) = ledger.merge(
            EvidenceLedger.Lifetime("peer", incarnation),
            mapOf(key to EvidenceCounts(answers, failures)),
        )
        assertTrue(merge("1", 20, 2))
        assertFalse(merge("1", 10, 1), "older report of the same lifetime")
        assertTrue(merge("2", 5, 1))
        assertTrue(merge("1", 21, 2), "the last report of the earlier lifetime comes late")
        assertEquals(26L to 3L, ledger.total.getValue(key).let { it.answers to it.failures })
    }

    // Guards against verdicts on what is left of the evidence after all gateways have restarted one after the other.
    @Test
    fun `the evidence of an ended lifetime is handed on, and counts once`() {
        val key = EvidenceKey("r", isTarget = true)
        val peer = EvidenceLedger(clock, "own")
        val ended = LifetimeEvidence("g", "1", mapOf(key to EvidenceCounts(20, 2)))
        peer.merge(EvidenceLedger.Lifetime("g", "1"), ended.evidence)
        assertNull(peer.nextEnded(), "the gateway runs")
        peer.merge(EvidenceLedger.Lifetime("g", "2"), emptyMap())
        assertEquals(ended, peer.nextEnded(), "it has restarted")
        val restarted = EvidenceLedger(clock, "2")
        repeat(2) { restarted.mergeEnded(ended) }
        restarted.mergeEnded(LifetimeEvidence("g", "1", mapOf(key to EvidenceCounts(10, 1))))
        restarted.mergeEnded(LifetimeEvidence("g", "2", mapOf(key to EvidenceCounts(5, 5))))
        assertEquals(20L to 2L, restarted.total.getValue(key).let { it.answers to it.failures })
        assertEquals(ended, restarted.nextEnded(), "it hands on what it was told")
    }

    @Test
    fun `a gateway that has restarted promotes on the evidence of lifetimes that have ended`() {
        fun counts(answers: Long) = EvidenceCounts(answers)
        val evidence = mapOf(EvidenceKey("r", true) to counts(40), EvidenceKey("r", false) to counts(400))
        listOf(null to null, LifetimeEvidence("g", "1", evidence) to PROMOTING).forEach { (ended, expected) ->
            val rollout = rollout(isRecentlyStarted = true).apply { record(elapsed = 8_500) }
            rollout.mergePeer("peer", "1", report().copy(endedLifetime = ended))
            assertEquals(expected, rollout.pass(2_000)?.phase, "evidence $ended")
        }
    }

    @Test
    fun `the crash of one endpoint is not evidence against the version but repeated losses are`() =
        listOf(1 to null, 6 to ROLLED_BACK).forEach { (secondsWithLosses, expected) ->
            val observer = rollout().apply { record() }
            val gateways = List(23) { rollout() }
            val transitions = (1..8).mapNotNull { second ->
                gateways.forEachIndexed { index, gateway ->
                    repeat(10) { gateway.recordAnswer(answer(old, AnswerResult.SUCCESS)) }
                    repeat(2) { gateway.recordAnswer(answer(new, AnswerResult.SUCCESS)) }
                    if (second in 3 until 3 + secondsWithLosses) {
                        repeat(3) { gateway.recordAnswer(answer(new, AnswerResult.LOST)) }
                    }
                    observer.mergePeer("g$index", "1", gateway.report(0).copy(reason = ""))
                }
                observer.pass(1_000)
            }
            assertEquals(expected, transitions.firstOrNull()?.phase, "$secondsWithLosses seconds with losses")
        }

    private fun answer(endpoint: ListedEndpoint, result: AnswerResult) =
        RolloutAnswer("r", endpoint.id, endpoint.version.orEmpty(), result, 100, 10.0)

    @Test
    fun `an order without an old side is completed at once, but not when the old side was lost`() {
        assertEquals(COMPLETED, rollout(listed = listOf(new)).review(0)?.phase)
        val restarted = rollout(isRecentlyStarted = true, listed = listOf(new))
        assertNull(restarted.review(0), "before the record is read")
        restarted.record()
        assertNull(restarted.review(0), "the record tells of an old side")
        val running = rollout().apply { record() }
        running.updateEndpoints(listOf(new))
        assertNull(running.review(0), "old side lost")
    }

    @Test
    fun `a version that nobody runs or that got no answers is rolled back before the time limit`() =
        listOf(listOf(old), listOf(old, new)).forEach { listed ->
            val rollout = rollout(listed = listed).apply { record(elapsed = 2_000) }
            assertNull(rollout.pass(9_400))
            assertEquals("time-limit", rollout.pass(500)?.reason)
            assertEquals(ROLLED_BACK, rollout.phase)
        }

    @Test
    fun `a gateway that is cut off stops testing and decides nothing alone`() {
        val running = rollout().apply { record() }
        running.pass(2_900, isHeard = false)
        assertTrue(running.usesTarget())
        running.pass(200, isHeard = false)
        assertFalse(running.usesTarget(), "a rollback may have been missed")
        assertNull(running.pass(12_000, isHeard = false))
        val promoting = rollout().apply { record(PROMOTING, elapsed = 9_000) }
        assertNull(promoting.pass(4_000, isHeard = false), "completed alone")
        assertFalse(promoting.mayUse("r", new))
        assertTrue(promoting.mayUse("r", old))
    }

    @Test
    fun `a gateway that was cut off promotes only after it has heard the others again`() {
        val rollout = rollout().apply { record(elapsed = 5_000) }
        repeat(40) {
            rollout.recordAnswer(answer(new, AnswerResult.SUCCESS))
            rollout.recordAnswer(answer(old, AnswerResult.SUCCESS))
        }
        assertNull(rollout.pass(4_500, isHeard = false), "cut off")
        assertNull(rollout.pass(900), "heard for 900 ms")
        assertEquals(PROMOTING, rollout.pass(300)?.phase)
    }

    @Test
    fun `a gateway that was frozen while promoting sends nothing to the old side for a second`() {
        val rollout = rollout().apply { record(PROMOTING) }
        rollout.review(0)
        clock.advance(3_000)
        assertFalse(rollout.mayUse("r", old) || rollout.mayUse("r", new), "before a review")
        rollout.pass(900, isHeard = false)
        assertFalse(rollout.mayUse("r", old) || rollout.mayUse("r", new), "after reviews")
        rollout.pass(300, isHeard = false)
        assertTrue(rollout.mayUse("r", old))
    }

    // Guards against requests at endpoints that were stopped or rolled back while the gateway did not run.
    @Test
    fun `a gateway that was restarted or frozen uses the old side once it knows the phase, or after some time`() {
        fun restarted() = rollout(isRecentlyStarted = true)
        fun frozen() = rollout().apply {
            record()
            review(0)
            clock.advance(3_000)
            onClockGap()
        }
        listOf(::restarted to 5_000L, ::frozen to 1_000L).forEach { (begin, limit) ->
            assertFalse(begin().mayUse("r", old), "phase unknown")
            assertTrue(begin().apply { record() }.mayUse("r", old), "running")
            assertFalse(begin().apply { record(COMPLETED) }.mayUse("r", old), "completed")
            val uninformed = begin()
            uninformed.pass(limit - 100, isHeard = false)
            assertFalse(uninformed.mayUse("r", old), "100 ms before $limit ms")
            uninformed.pass(300, isHeard = false)
            assertTrue(uninformed.mayUse("r", old), "200 ms after $limit ms")
        }
        assertTrue(rollout().mayUse("r", old), "a new order")
    }

    @Test
    fun `completion waits for open requests on the old side, up to the time limit`() {
        val rollout = rollout().apply { record(PROMOTING, elapsed = 9_000) }
        fun reviewAfter(own: Int, peersOpen: Int, phase: RolloutPhase = PROMOTING): RolloutTransition? {
            rollout.report(own)
            rollout.peer(phase, peersOpen)
            clock.advance(100)
            return rollout.review(peersOpen)
        }
        assertNull(reviewAfter(1, 0), "own request")
        assertNull(reviewAfter(0, 1), "request of a peer")
        assertNull(reviewAfter(0, 0, RUNNING), "a peer that still sends there")
        assertEquals("drained", reviewAfter(0, 0)?.reason)
        val late = rollout().apply { record(PROMOTING, elapsed = 11_500) }
        late.report(1)
        assertEquals("time-limit", late.review(1)?.reason)
    }

    @Test
    fun `a newer order to the same version keeps the counters and starts the time again`() {
        val rollout = rollout().apply { record(PROMOTING, elapsed = 11_000) }
        rollout.recordAnswer(answer(new, AnswerResult.SUCCESS))
        assertFalse(rollout.continueWith(order.copy(revision = 8, targetVersion = "v3")))
        assertTrue(rollout.continueWith(order.copy(revision = 8)))
        assertEquals(RUNNING, rollout.phase)
        assertFalse(rollout.usesTarget(), "before the new record")
        rollout.record(revision = 8)
        assertTrue(rollout.usesTarget())
        assertEquals(1, rollout.report(0).evidence.getValue(EvidenceKey("r", isTarget = true)).answers)
        assertNull(rollout.pass(1_000))
    }
}
