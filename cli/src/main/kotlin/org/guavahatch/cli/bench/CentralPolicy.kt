package org.guavahatch.cli.bench

import java.util.TreeSet

/**
 * Central queue for all engines, without message delays. It is either FIFO, as a baseline, or clairvoyant, as a
 * reference.
 *
 * The FIFO queue assigns each request to the engine with the fewest requests. The clairvoyant queue uses exact output
 * lengths, speeds and slowdowns, which no real policy knows. It serves higher tiers first, and shorter requests first
 * within a tier, sheds requests that would miss their deadline, and assigns each other request to the engine with the
 * earliest expected completion.
 */
internal class CentralPolicy(private val eventLoop: EventLoop, cacheCapacity: Int, private val isClairvoyant: Boolean) :
    BenchPolicy {
    private val listener = object : RecordingListener(eventLoop) {
        override fun onCompleted(request: BenchRequest) {
            super.onCompleted(request)
            running.remove(request)
            assign()
        }
    }
    override val engines: List<BenchEngine> =
        BenchWorkload.SPEEDS.map { BenchEngine(eventLoop, it, cacheCapacity, listener) }
    private val running = HashMap<BenchRequest, BenchEngine>()
    private val leaving = HashSet<BenchEngine>()
    private val waiting = TreeSet(queueOrder())

    private fun queueOrder(): Comparator<BenchRequest> = if (isClairvoyant) {
        compareBy<BenchRequest> { it.rank }.thenBy { exactCost(it) }.thenBy { it.number }
    } else {
        compareBy { it.number }
    }

    private fun exactCost(request: BenchRequest) =
        request.promptTokens * BenchEngine.PROMPT_TOKEN_COST + request.outputTokens

    override fun onArrival(request: BenchRequest) {
        waiting.add(request)
        eventLoop.scheduleAt(request.deadlineMilliseconds) { expire(request) }
        assign()
    }

    private fun assign() {
        while (waiting.isNotEmpty()) {
            val available = engines.filter { it !in leaving && it.requestCount < BenchEngine.TARGET_SEQUENCES }
            if (available.isEmpty()) return
            val request = waiting.first()
            waiting.remove(request)
            val best = if (isClairvoyant) {
                available.minBy {
                    expectedMilliseconds(it, request)
                }
            } else {
                available.minBy { it.requestCount }
            }
            val isLate = eventLoop.nowMilliseconds + expectedMilliseconds(best, request) > request.deadlineMilliseconds
            if (isClairvoyant && isLate) {
                request.shedMilliseconds = eventLoop.nowMilliseconds
                continue
            }
            running[request] = best
            best.submit(request, 0)
        }
    }

    /** Expected service time of [request] at [engine], at the batch size after it has joined. */
    private fun expectedMilliseconds(engine: BenchEngine, request: BenchRequest): Double {
        val cached = if (engine.hasCached(request.prefixGroup)) request.prefixTokens else 0
        val step = BenchEngine.STEP_BASE_MILLISECONDS + BenchEngine.SEQUENCE_MILLISECONDS * (engine.requestCount + 1)
        val prefill = (request.promptTokens - cached) * BenchEngine.PREFILL_TOKEN_MILLISECONDS
        return (prefill + request.outputTokens * step) * engine.slowdown / engine.speed
    }

    private fun expire(request: BenchRequest) {
        if (request.completedMilliseconds != null || request.shedMilliseconds != null) return
        waiting.remove(request)
        running.remove(request)?.cancel(request)
        request.shedMilliseconds = eventLoop.nowMilliseconds
        assign()
    }

    override fun onLeave(index: Int) {
        leaving += engines[index]
    }
}
