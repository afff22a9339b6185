package org.guavahatch.cli.bench

import java.util.TreeSet

/**
 * One queue for all engines, without message delays: either in the order of arrival, as a baseline, or with exact
 * knowledge of lengths, speeds and slowdowns, as a reference that no real policy can know enough to reach. The
 * clairvoyant form serves higher tiers first, shorter requests first within a tier, starts nothing that would be
 * late, and uses the engine that completes a request soonest.
 */
internal class CentralPolicy(private val time: VirtualTime, cachedGroups: Int, private val isClairvoyant: Boolean) :
    BenchPolicy {
    private val listener = object : NotingListener(time) {
        override fun onDone(request: BenchRequest) {
            super.onDone(request)
            running.remove(request)
            assign()
        }
    }
    override val engines: List<BenchEngine> = BenchWorkload.SPEEDS.map { BenchEngine(time, it, cachedGroups, listener) }
    private val running = HashMap<BenchRequest, BenchEngine>()
    private val leaving = HashSet<BenchEngine>()
    private val waiting = TreeSet(order())

    private fun order(): Comparator<BenchRequest> = if (isClairvoyant) {
        compareBy<BenchRequest> { it.rank }.thenBy { exactCost(it) }.thenBy { it.number }
    } else {
        compareBy { it.number }
    }

    private fun exactCost(request: BenchRequest) =
        request.promptTokens * BenchEngine.PROMPT_TOKEN_COST + request.outputTokens

    override fun onArrival(request: BenchRequest) {
        waiting.add(request)
        time.at(request.deadlineMilliseconds) { giveUp(request) }
        assign()
    }

    private fun assign() {
        while (waiting.isNotEmpty()) {
            val free = engines.filter { it !in leaving && it.requests < BenchEngine.WELL_USED_SEQUENCES }
            if (free.isEmpty()) return
            val request = waiting.first()
            waiting.remove(request)
            val best = if (isClairvoyant) {
                free.minBy {
                    expectedMilliseconds(it, request)
                }
            } else {
                free.minBy { it.requests }
            }
            val isLate = time.nowMilliseconds + expectedMilliseconds(best, request) > request.deadlineMilliseconds
            if (isClairvoyant && isLate) {
                request.shedMilliseconds = time.nowMilliseconds
                continue
            }
            running[request] = best
            best.submit(request, 0)
        }
    }

    /** Time that [request] takes at [engine] with the batch that it would join. */
    private fun expectedMilliseconds(engine: BenchEngine, request: BenchRequest): Double {
        val cached = if (engine.hasCached(request.prefixGroup)) request.prefixTokens else 0
        val step = BenchEngine.STEP_MILLISECONDS + BenchEngine.SEQUENCE_MILLISECONDS * (engine.requests + 1)
        val prefill = (request.promptTokens - cached) * BenchEngine.PREFILL_MILLISECONDS
        return (prefill + request.outputTokens * step) * engine.slowdown / engine.speed
    }

    private fun giveUp(request: BenchRequest) {
        if (request.doneMilliseconds != null || request.shedMilliseconds != null) return
        waiting.remove(request)
        running.remove(request)?.cancel(request)
        request.shedMilliseconds = time.nowMilliseconds
        assign()
    }

    override fun onLeave(index: Int) {
        leaving += engines[index]
    }
}
