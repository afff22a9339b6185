package org.guavahatch.scheduling.direct

import org.guavahatch.model.configuration.DispatchRule
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SendHistoryTest {
    /** History of a request, whether it may be sent again, and whether it may be refused as not run. */
    private class Case(
        val name: String,
        val rule: DispatchRule,
        val canRepeat: Boolean,
        val isNotRun: Boolean,
        val record: SendHistory.() -> Unit,
    )

    private val cases = listOf(
        Case("unsent order", DispatchRule.AT_MOST_ONCE, canRepeat = false, isNotRun = true) {},
        Case("sent order", DispatchRule.AT_MOST_ONCE, canRepeat = false, isNotRun = false) {
            recordSent(connection = 1)
        },
        Case("rejected order", DispatchRule.AT_MOST_ONCE, canRepeat = false, isNotRun = true) {
            recordSent(connection = 1)
            recordRejected()
        },
        Case("sent read", DispatchRule.REPEATABLE, canRepeat = true, isNotRun = false) { recordSent(connection = 1) },
        Case("read with the maximum number of attempts", DispatchRule.REPEATABLE, canRepeat = false, isNotRun = false) {
            recordSent(connection = 1)
            recordSent(connection = 1)
        },
        Case("read whose answer has begun", DispatchRule.REPEATABLE, canRepeat = false, isNotRun = false) {
            recordSent(connection = 1)
            recordBegun()
        },
        Case("resumable stream after an event", DispatchRule.RESUMABLE, canRepeat = true, isNotRun = false) {
            recordSent(connection = 1)
            recordBegun()
            recordEvent(1)
        },
        Case("resumable stream without ids", DispatchRule.RESUMABLE, canRepeat = false, isNotRun = false) {
            recordSent(connection = 1)
            recordBegun()
            recordEvent(null)
        },
    )

    @Test
    fun `a request is repeated only if its route allows, and refused as not run only if it has not run`() =
        cases.forEach { case ->
            val history = SendHistory(case.rule, maximumAttempts = 2).apply(case.record)
            assertEquals(case.canRepeat, history.canRepeat, "${case.name}: repeat")
            assertEquals(case.isNotRun, history.isNotRun, "${case.name}: not run")
        }

    @Test
    fun `each connection that carried a request is known, also after a rejection`() {
        val history = SendHistory(DispatchRule.AT_MOST_ONCE, maximumAttempts = 2)
        assertEquals(1, history.recordSent(connection = 7))
        history.recordRejected()
        assertEquals(2, history.recordSent(connection = 9))
        assertEquals(setOf(7L, 9L), history.usedConnections)
    }

    @Test
    fun `events are not sent to the caller twice`() {
        val history = SendHistory(DispatchRule.RESUMABLE, maximumAttempts = 2)
        assertTrue(history.recordEvent(1))
        assertTrue(history.recordEvent(2))
        assertFalse(history.recordEvent(2))
        assertFalse(history.recordEvent(1))
        assertTrue(history.recordEvent(3))
    }
}
