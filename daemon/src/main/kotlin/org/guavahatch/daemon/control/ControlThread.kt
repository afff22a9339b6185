package org.guavahatch.daemon.control

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavahatch.model.time.Clock
import org.tinylog.kotlin.Logger
import java.util.concurrent.Executors

/** The single thread that owns a process's control state. Blocks run one after another, in the order of [post]. */
internal class ControlThread(private val clock: Clock) : AutoCloseable {
    private val executor = Executors.newSingleThreadExecutor { task ->
        Thread(task, "control").apply { isDaemon = true }
    }
    private val scope = CoroutineScope(executor.asCoroutineDispatcher())

    /** Queues [block] to run on the control thread. */
    fun post(block: () -> Unit) {
        executor.execute { runAndLogErrors(block) }
    }

    /** Runs [block] on the control thread and returns its value. */
    suspend fun <T> call(block: () -> T): T {
        val result = CompletableDeferred<T>()
        executor.execute {
            runCatching(block).fold({ result.complete(it) }, { result.completeExceptionally(it) })
        }
        return result.await()
    }

    /**
     * Runs [block] on the control thread every [periodMilliseconds]. The block receives the time since its last run,
     * which is much longer than the period if the process was suspended.
     */
    fun runPeriodically(periodMilliseconds: Long, block: (elapsedMilliseconds: Long) -> Unit) {
        scope.launch {
            var lastRun = clock.monotonicMilliseconds()
            while (true) {
                delay(periodMilliseconds)
                val now = clock.monotonicMilliseconds()
                runAndLogErrors { block(now - lastRun) }
                lastRun = now
            }
        }
    }

    private fun runAndLogErrors(block: () -> Unit) {
        try {
            block()
        } catch (exception: RuntimeException) {
            Logger.error(exception, "event=control-failure")
        }
    }

    override fun close() {
        executor.shutdown()
    }
}
