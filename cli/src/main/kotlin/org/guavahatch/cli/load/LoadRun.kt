package org.guavahatch.cli.load

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.atomic.AtomicInteger

/** Sends planned requests at their times, whether or not earlier ones have been answered. */
internal class LoadRun(private val client: CallerClient, private val showsProgress: Boolean) {
    private val sent = AtomicInteger()
    private val ended = AtomicInteger()

    suspend fun send(planned: List<PlannedRequest>): List<Measurement> = withContext(Dispatchers.Default) {
        coroutineScope {
            val progress = launch { if (showsProgress) show(planned.size) }
            val start = System.nanoTime()
            val measurements = planned.map { request ->
                val due = start + (request.atMilliseconds * NANOSECONDS_PER_MILLISECOND).toLong()
                async { sendAt(request, due) }
            }.awaitAll()
            progress.cancel()
            measurements
        }
    }

    private suspend fun sendAt(request: PlannedRequest, due: Long): Measurement {
        val wait = (due - System.nanoTime()) / NANOSECONDS_PER_MILLISECOND
        if (wait > 0) delay(wait.toLong())
        sent.incrementAndGet()
        return client.send(request, due).also { ended.incrementAndGet() }
    }

    private suspend fun show(total: Int) {
        while (true) {
            System.err.print("\rload: $total planned, ${sent.get()} sent, ${ended.get()} ended   ")
            delay(PROGRESS_MILLISECONDS)
        }
    }

    private companion object {
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000.0
        const val PROGRESS_MILLISECONDS = 500L
    }
}
