package org.guavahatch.daemon

import org.guavahatch.gateway.observation.DecisionLog
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * Ends the process when the thread of its event loop has ended, or another thread has ended with an error, so that the
 * platform restarts it. Otherwise the remaining threads would keep alive a process that answers nothing.
 *
 * @property isEventLoopRunning whether the event loop's thread still runs
 * @property log receives a line before the end
 * @property exit ends the process at once with a code; by default without shutdown hooks, which may need memory
 */
internal class EventLoopGuard(
    private val isEventLoopRunning: () -> Boolean,
    private val log: DecisionLog,
    private val exit: (Int) -> Unit = Runtime.getRuntime()::halt,
) {
    /** Observes all threads; exceptions that are no errors of the virtual machine end only their thread. */
    fun watchThreads() = Thread.setDefaultUncaughtExceptionHandler { thread, error ->
        System.err.println("Thread ${thread.name} has ended: $error")
        if (error is Error) end("thread ${thread.name}: $error")
    }

    /** Waits until [stopped] is signalled, or ends the process before. */
    fun awaitStop(stopped: CountDownLatch) {
        while (!stopped.await(CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)) {
            if (!isEventLoopRunning()) return end("the event loop has ended")
        }
    }

    private fun end(reason: String) {
        try {
            log.write("process.failed") {
                put("step", "run")
                put("reason", reason)
            }
            log.flush()
        } finally {
            exit(EXIT_THREAD_ENDED)
        }
    }

    companion object {
        /** Exit code of a process that ends because one of its threads has ended. */
        const val EXIT_THREAD_ENDED = 3

        /** Well below the second that a load balancer takes to notice. */
        private const val CHECK_MILLISECONDS = 250L
    }
}
