package org.guavahatch.cli.load

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.atomic.AtomicInteger

/**
 * Sends planned requests as an open-loop load: each at its planned time, whether or not earlier ones have been
 * answered.
 */
internal class LoadRun(private val client: CallerClient, private val showsProgress: Boolean) {
    private val sent = AtomicInteger()
    private val completed = AtomicInteger()

    /** Sends all [planned] requests and returns their measurements in the same order. */
    suspend fun send(planned: List<PlannedRequest>): List<Measurement> = withContext(Dispatchers.Default) {
        coroutineScope {
            val progress = launch { if (showsProgress) showProgress(planned.size) }
            val startNanoseconds = System.nanoTime()
            val measurements = planned.map { request ->
                val dueNanoseconds = startNanoseconds + (request.atMilliseconds * NANOSECONDS_PER_MILLISECOND).toLong()
                async { sendAt(request, dueNanoseconds) }
            }.awaitAll()
            progress.cancel()
            measurements
        }
    }

    private suspend fun sendAt(request: PlannedRequest, dueNanoseconds: Long): Measurement {
        val waitMilliseconds = (dueNanoseconds - System.nanoTime()) / NANOSECONDS_PER_MILLISECOND
        if (waitMilliseconds > 0) delay(waitMilliseconds.toLong())
        sent.incrementAndGet()
        return client.send(request, dueNanoseconds).also { completed.incrementAndGet() }
    }

    private suspend fun showProgress(total: Int) {
        while (true) {
            System.err.print("\rload: $total planned, ${sent.get()} sent, ${completed.get()} ended   ")
            delay(PROGRESS_INTERVAL_MILLISECONDS)
        }
    }

    private companion object {
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000.0
        const val PROGRESS_INTERVAL_MILLISECONDS = 500L
    }
}
