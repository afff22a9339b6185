package org.guavahatch.daemon

import org.guavahatch.gateway.observation.DecisionLog
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

class EventLoopGuardTest {
    // Guards against a process that stays up without answering after its event loop has ended.
    @Test
    fun `the process ends when the event loop ends and not before`() {
        val codes = ArrayList<Int>()
        val checks = AtomicInteger()
        val guard = EventLoopGuard({ checks.incrementAndGet() < 3 }, startedLog()) { codes += it }
        guard.awaitStop(CountDownLatch(1))
        assertEquals(3, checks.get())
        assertEquals(listOf(EventLoopGuard.EXIT_THREAD_ENDED), codes)
    }

    @Test
    fun `a stop ends the wait without an exit code`() {
        val guard = EventLoopGuard({ true }, startedLog()) { error("exit code $it") }
        guard.awaitStop(CountDownLatch(1).apply { countDown() })
    }

    // Guards against a store watcher or a log that has ended for lack of memory in a process that seems healthy.
    @Test
    fun `the process ends when a thread ends with an error but not with an exception`() {
        val codes = ArrayList<Int>()
        val previous = Thread.getDefaultUncaughtExceptionHandler()
        try {
            EventLoopGuard({ true }, startedLog()) { codes += it }.watchThreads()
            thread { error("an exception") }.join()
            assertEquals(emptyList(), codes)
            thread { throw OutOfMemoryError("an error") }.join()
            assertEquals(listOf(EventLoopGuard.EXIT_THREAD_ENDED), codes)
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(previous)
        }
    }

    private fun startedLog() = DecisionLog("gateway-1", "zone").apply { start() }
}
