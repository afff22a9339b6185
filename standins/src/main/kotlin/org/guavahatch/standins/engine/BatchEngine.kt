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
 * Load of the engine.
 *
 * @property running sequences in the batch
 * @property waiting requests that were not admitted to the batch yet
 * @property memoryTokens tokens in KV memory
 */
@Serializable
internal data class EngineLoad(val running: Int, val waiting: Int, val memoryTokens: Long)

/** Continuous batching without priorities: requests are admitted in the order of their arrival. */
internal class BatchEngine(private val settings: EngineSettings, private val scope: CoroutineScope) {
    private val arrivals = ConcurrentLinkedQueue<Generation>()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val batch = ArrayList<Generation>()
    private val cache = PrefixCache(settings.cacheTokens) { change, block ->
        cacheEvents.add(System.currentTimeMillis(), change, block)
    }

    /** Changes of the prefix cache, as the engine publishes them. */
    val cacheEvents = CacheEvents(settings.cacheEventLagMilliseconds, settings.lostCacheEventEveryNth)

    /** Factor by which the engine is slower than its settings say. */
    @Volatile
    var slowdown = 1.0

    @Volatile
    var load = EngineLoad(0, 0, 0)
        private set

    @Volatile
    var computedPromptTokens = 0L
        private set

    fun start() {
        scope.launch {
            while (isActive) {
                if (batch.isEmpty() && arrivals.isEmpty()) wake.receive()
                step()
            }
        }
    }

    fun submit(generation: Generation) {
        arrivals.add(generation)
        wake.trySend(Unit)
    }

    private suspend fun step() {
        batch.removeAll { it.isCancelled }
        admit()
        load = EngineLoad(batch.size, arrivals.size, batch.sumOf { it.memoryTokens })
        val decoding = batch.filter { it.prefillLeft == 0 }
        val prefilled = prefill()
        val duration = settings.stepMilliseconds +
            settings.stepPerSequenceMilliseconds * decoding.size +
            settings.prefillPerTokenMilliseconds * prefilled
        delay((duration * slowdown / settings.speed).roundToLong().coerceAtLeast(1))
        batch.filter { it.prefillLeft == 0 }.forEach(::emit)
        batch.removeAll { it.isDone }
    }

    private fun admit() {
        while (batch.size < settings.maximumSequences) {
            val next = arrivals.peek() ?: return
            val used = batch.sumOf { it.memoryTokens }
            if (batch.isNotEmpty() && used + next.memoryTokens > settings.memoryTokens) return
            arrivals.poll()
            if (next.isCancelled) continue
            next.prefillLeft = maxOf(1, next.prefillLeft - cache.useAndStore(next.prompt))
            batch.add(next)
        }
    }

    private fun prefill(): Int {
        var budget = settings.prefillTokensPerStep
        batch.filter { it.prefillLeft > 0 }.forEach { generation ->
            val computed = minOf(budget, generation.prefillLeft)
            generation.prefillLeft -= computed
            budget -= computed
        }
        val computed = settings.prefillTokensPerStep - budget
        computedPromptTokens += computed
        return computed
    }

    private fun emit(generation: Generation) {
        generation.tokens.trySend(generation.position)
        generation.position++
        if (generation.isDone) generation.tokens.close()
    }
}
