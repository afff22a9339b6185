package org.guavahatch.cli.load

import kotlin.test.Test
import kotlin.test.assertEquals

class RecordCheckTest {
    private class Case(
        val description: String,
        val outcome: ObservedOutcome,
        val contentHash: String,
        val isAtMostOnce: Boolean,
        val records: List<StandInRecord>,
        val violations: Int,
    )

    private fun record(executions: Int, answerHash: String) = StandInRecord("r", executions, answerHash)

    private val cases = listOf(
        Case("answered with the recorded answer", ObservedOutcome.ANSWERED, "h", true, listOf(record(1, "h")), 0),
        Case("answered with a different answer", ObservedOutcome.ANSWERED, "x", true, listOf(record(1, "h")), 1),
        Case("answered without a record", ObservedOutcome.ANSWERED, "h", true, emptyList(), 1),
        Case("resumed elsewhere", ObservedOutcome.ANSWERED, "h", false, listOf(record(1, ""), record(1, "h")), 0),
        Case("run twice at one endpoint", ObservedOutcome.ANSWERED, "h", true, listOf(record(2, "h")), 1),
        Case("run at two endpoints", ObservedOutcome.UNKNOWN, "", true, listOf(record(1, ""), record(1, "h")), 1),
        Case("not run", ObservedOutcome.NOT_RUN, "", true, emptyList(), 0),
        Case("reported as not run, but run", ObservedOutcome.NOT_RUN, "", true, listOf(record(1, "")), 1),
        Case("unknown and run", ObservedOutcome.UNKNOWN, "", true, listOf(record(1, "h")), 0),
        Case("connection failed and not run", ObservedOutcome.BROKEN, "", true, emptyList(), 0),
    )

    @Test
    fun `exactly the outcomes that contradict the records are reported`() {
        cases.forEach { case ->
            val kind = RequestKind(
                "kind",
                1.0,
                RequestShape.CHANGE,
                "/",
                "key",
                deadlineMilliseconds = 1,
                isAtMostOnce = case.isAtMostOnce,
            )
            val planned = PlannedRequest(0.0, kind, "r", 0)
            val measured = Measurement(planned, case.outcome, "", 1.0, null, emptyList(), case.contentHash, "")
            assertEquals(case.violations, RecordCheck.check(listOf(measured), case.records).size, case.description)
        }
    }
}
