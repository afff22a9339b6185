package org.guavahatch.standins.engine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.math.roundToLong

/**
 * Load of the engine, as returned by `GET /load`.
 *
 * @property running number of sequences in the batch
 * @property waiting number of requests that have not been admitted to the batch yet
 * @property memoryTokens tokens of KV cache memory reserved by the batch
 */
@Serializable
internal data class EngineLoad(val running: Int, val waiting: Int, val memoryTokens: Long)

/**
 * Simulates an inference engine with continuous batching. There are no priorities: requests are admitted to the
 * batch in order of arrival.
 */
internal class BatchEngine(private val settings: EngineSettings, private val scope: CoroutineScope) {
    private val arrivals = ConcurrentLinkedQueue<Generation>()
    private val arrivalSignal = Channel<Unit>(Channel.CONFLATED)
    private val batch = ArrayList<Generation>()
    private val cache = PrefixCache(settings.cacheTokens) { change, block ->
        cacheEvents.add(System.currentTimeMillis(), change, block)
    }

    /** Prefix cache changes, published late and with gaps. */
    val cacheEvents = CacheEvents(settings.cacheEventLagMilliseconds, settings.lostCacheEventEveryNth)

    /** Factor by which each step takes longer than the settings specify; 1.0 is the configured speed. */
    @Volatile
    var slowdown = 1.0

    /** Load at the start of the latest step. */
    @Volatile
    var load = EngineLoad(0, 0, 0)
        private set

    /** Total prefill tokens computed since start; tokens found in the prefix cache are not counted. */
    @Volatile
    var computedPromptTokens = 0L
        private set

    /** Starts stepping; waits without stepping while there are no requests. */
    fun start() {
        scope.launch {
            while (isActive) {
                if (batch.isEmpty() && arrivals.isEmpty()) arrivalSignal.receive()
                step()
            }
        }
    }

    /** Queues [generation]; its tokens arrive on [Generation.tokens]. */
    fun submit(generation: Generation) {
        arrivals.add(generation)
        arrivalSignal.trySend(Unit)
    }

    /** Runs one engine step: admits requests, computes prefill tokens, and emits one token per decoding sequence. */
    private suspend fun step() {
        batch.removeAll { it.isCancelled }
        admit()
        load = EngineLoad(batch.size, arrivals.size, batch.sumOf { it.memoryTokens })
        val decodingSequences = batch.filter { it.remainingPrefillTokens == 0 }
        val prefillTokens = prefill()
        val duration = settings.stepMilliseconds +
            settings.stepPerSequenceMilliseconds * decodingSequences.size +
            settings.prefillPerTokenMilliseconds * prefillTokens
        delay((duration * slowdown / settings.speed).roundToLong().coerceAtLeast(1))
        batch.filter { it.remainingPrefillTokens == 0 }.forEach(::emitToken)
        batch.removeAll { it.isDone }
    }

    /**
     * Admits waiting requests in order until the batch or the KV cache memory is full. An empty batch admits any
     * size.
     */
    private fun admit() {
        while (batch.size < settings.maximumSequences) {
            val next = arrivals.peek() ?: return
            val usedTokens = batch.sumOf { it.memoryTokens }
            if (batch.isNotEmpty() && usedTokens + next.memoryTokens > settings.memoryTokens) return
            arrivals.poll()
            if (next.isCancelled) continue
            next.remainingPrefillTokens = maxOf(1, next.remainingPrefillTokens - cache.lookUpAndStore(next.prompt))
            batch.add(next)
        }
    }

    /** Computes prefill tokens up to the limit per step, in batch order; returns how many were computed. */
    private fun prefill(): Int {
        var budget = settings.prefillTokensPerStep
        batch.filter { it.remainingPrefillTokens > 0 }.forEach { generation ->
            val computed = minOf(budget, generation.remainingPrefillTokens)
            generation.remainingPrefillTokens -= computed
            budget -= computed
        }
        val computed = settings.prefillTokensPerStep - budget
        computedPromptTokens += computed
        return computed
    }

    private fun emitToken(generation: Generation) {
        generation.tokens.trySend(generation.position)
        generation.position++
        if (generation.isDone) generation.tokens.close()
    }
}
