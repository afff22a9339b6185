package org.guavahatch.cli.bench

/** Takes what happens to a request inside an engine. */
internal interface EngineListener {
    fun onToken(request: BenchRequest, position: Int)

    fun onDone(request: BenchRequest)
}

/**
 * A small model of an engine with continuous batching: it admits requests as they come, knows no priorities, computes
 * prompts in parts, and caches shared prefixes in limited memory.
 *
 * @property speed factor by which it is faster than an engine of speed 1
 * @property cachedGroups prefix groups that its memory holds
 */
internal class BenchEngine(
    private val time: VirtualTime,
    val speed: Double,
    private val cachedGroups: Int,
    private val listener: EngineListener,
) {
    private class Sequence(val request: BenchRequest, var prefillLeft: Int, var position: Int)

    private val waiting = ArrayDeque<Sequence>()
    private val batch = ArrayList<Sequence>()
    private val cache = object : LinkedHashMap<Int, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Int, Unit>) = size > cachedGroups
    }
    private var isStepping = false

    /** Factor by which it is slower than its speed says. */
    var slowdown = 1.0

    val requests: Int get() = waiting.size + batch.size

    /** Cost that is left in it, exactly; only the clairvoyant policy may ask. */
    val exactRemainingCost: Double
        get() = (waiting + batch).sumOf { it.prefillLeft * PROMPT_TOKEN_COST + it.request.outputTokens - it.position }

    fun hasCached(group: Int?): Boolean = group != null && group in cache

    /** Begins [request] after [position] tokens of its answer. */
    fun submit(request: BenchRequest, position: Int) {
        if (request.firstStartMilliseconds == null) request.firstStartMilliseconds = time.nowMilliseconds
        waiting.addLast(Sequence(request, request.promptTokens + position, position))
        if (!isStepping) step()
    }

    fun cancel(request: BenchRequest) {
        waiting.removeAll { it.request === request }
        batch.removeAll { it.request === request }
    }

    private fun step() {
        admit()
        if (batch.isEmpty()) {
            isStepping = false
            return
        }
        isStepping = true
        val decoding = batch.filter { it.prefillLeft == 0 }
        val prefilled = prefill()
        val duration = STEP_MILLISECONDS + SEQUENCE_MILLISECONDS * decoding.size + PREFILL_MILLISECONDS * prefilled
        time.after(duration * slowdown / speed) {
            emit()
            step()
        }
    }

    private fun admit() {
        while (batch.size < MAXIMUM_SEQUENCES && waiting.isNotEmpty()) {
            val next = waiting.removeFirst()
            val group = next.request.prefixGroup
            if (hasCached(group)) next.prefillLeft = maxOf(1, next.prefillLeft - next.request.prefixTokens)
            if (group != null) cache[group] = Unit
            batch.add(next)
        }
    }

    private fun prefill(): Int {
        var budget = PREFILL_TOKENS_PER_STEP
        batch.filter { it.prefillLeft > 0 }.forEach { sequence ->
            val computed = minOf(budget, sequence.prefillLeft)
            sequence.prefillLeft -= computed
            sequence.request.prefilledTokens += computed
            budget -= computed
        }
        return PREFILL_TOKENS_PER_STEP - budget
    }

    private fun emit() {
        batch.filter { it.prefillLeft == 0 }.forEach { sequence ->
            sequence.position++
            listener.onToken(sequence.request, sequence.position)
        }
        val done = batch.filter { it.position >= it.request.outputTokens }
        batch.removeAll(done.toSet())
        done.forEach { listener.onDone(it.request) }
    }

    internal companion object {
        const val STEP_MILLISECONDS = 4.0
        const val SEQUENCE_MILLISECONDS = 0.15
        const val PREFILL_MILLISECONDS = 0.02
        const val PREFILL_TOKENS_PER_STEP = 1024
        const val MAXIMUM_SEQUENCES = 64
        const val PROMPT_TOKEN_COST = 0.05

        /** Requests at which an engine is well used and its tokens still come quickly. */
        const val WELL_USED_SEQUENCES = 24
    }
}
