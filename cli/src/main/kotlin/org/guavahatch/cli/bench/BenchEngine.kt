package org.guavahatch.cli.bench

/** Receives the progress of requests in an engine. */
internal interface EngineListener {
    /** The engine emitted the output token number [generatedTokens] of [request], counted from 1. */
    fun onToken(request: BenchRequest, generatedTokens: Int)

    /** The engine emitted the last output token of [request]. */
    fun onCompleted(request: BenchRequest)
}

/**
 * Simulates an inference engine with continuous batching, first-come first-served admission without priorities,
 * chunked prefill, and an LRU cache of shared prompt prefixes.
 *
 * @property speed speed relative to an engine of speed 1
 * @property cacheCapacity number of prefix groups that fit into the cache
 */
internal class BenchEngine(
    private val eventLoop: EventLoop,
    val speed: Double,
    private val cacheCapacity: Int,
    private val listener: EngineListener,
) {
    private class Sequence(val request: BenchRequest, var remainingPrefillTokens: Int, var generatedTokens: Int)

    private val waiting = ArrayDeque<Sequence>()
    private val batch = ArrayList<Sequence>()
    private val cache = object : LinkedHashMap<Int, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Int, Unit>) = size > cacheCapacity
    }
    private var isStepping = false

    /** Factor by which each step takes longer than [speed] implies. */
    var slowdown = 1.0

    /** Number of requests that wait in the engine or are in its batch. */
    val requestCount: Int get() = waiting.size + batch.size

    /** Remaining cost of all requests, from their exact output lengths, which only the clairvoyant policy may use. */
    val exactRemainingCost: Double
        get() = (waiting + batch).sumOf {
            it.remainingPrefillTokens * PROMPT_TOKEN_COST + it.request.outputTokens - it.generatedTokens
        }

    /** Whether the prefix of [group] is in the cache. */
    fun hasCached(group: Int?): Boolean = group != null && group in cache

    /** Queues [request]. Its first [generatedTokens] output tokens exist already and are prefilled with the prompt. */
    fun submit(request: BenchRequest, generatedTokens: Int) {
        if (request.firstStartMilliseconds == null) request.firstStartMilliseconds = eventLoop.nowMilliseconds
        waiting.addLast(Sequence(request, request.promptTokens + generatedTokens, generatedTokens))
        if (!isStepping) step()
    }

    /** Removes [request] from the queue and the batch. */
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
        val decoding = batch.filter { it.remainingPrefillTokens == 0 }
        val prefilled = prefill()
        val duration =
            STEP_BASE_MILLISECONDS + SEQUENCE_MILLISECONDS * decoding.size + PREFILL_TOKEN_MILLISECONDS * prefilled
        eventLoop.scheduleAfter(duration * slowdown / speed) {
            emitTokens()
            step()
        }
    }

    private fun admit() {
        while (batch.size < MAXIMUM_SEQUENCES && waiting.isNotEmpty()) {
            val next = waiting.removeFirst()
            val group = next.request.prefixGroup
            if (hasCached(group)) {
                next.remainingPrefillTokens = maxOf(1, next.remainingPrefillTokens - next.request.prefixTokens)
            }
            if (group != null) cache[group] = Unit
            batch.add(next)
        }
    }

    private fun prefill(): Int {
        var budget = PREFILL_TOKENS_PER_STEP
        batch.filter { it.remainingPrefillTokens > 0 }.forEach { sequence ->
            val computed = minOf(budget, sequence.remainingPrefillTokens)
            sequence.remainingPrefillTokens -= computed
            sequence.request.prefilledTokens += computed
            budget -= computed
        }
        return PREFILL_TOKENS_PER_STEP - budget
    }

    private fun emitTokens() {
        batch.filter { it.remainingPrefillTokens == 0 }.forEach { sequence ->
            sequence.generatedTokens++
            listener.onToken(sequence.request, sequence.generatedTokens)
        }
        val done = batch.filter { it.generatedTokens >= it.request.outputTokens }
        batch.removeAll(done.toSet())
        done.forEach { listener.onCompleted(it.request) }
    }

    internal companion object {
        /** Duration of a step of an engine of speed 1, without the sequences and prompt tokens in it. */
        const val STEP_BASE_MILLISECONDS = 4.0

        /** Additional step duration for each decoding sequence. */
        const val SEQUENCE_MILLISECONDS = 0.15

        /** Additional step duration for each prefilled token. */
        const val PREFILL_TOKEN_MILLISECONDS = 0.02
        const val PREFILL_TOKENS_PER_STEP = 1024
        const val MAXIMUM_SEQUENCES = 64

        /** Cost of a prompt token relative to an output token. */
        const val PROMPT_TOKEN_COST = 0.05

        /** Number of concurrent requests at which throughput is high and the time between tokens is still short. */
        const val TARGET_SEQUENCES = 24
    }
}
