package org.guavahatch.cli.load

import kotlin.test.Test
import kotlin.test.assertEquals

class RecordCheckTest {
    private class Case(
        val name: String,
        val outcome: ObservedOutcome,
        val hash: String,
        val isAtMostOnce: Boolean,
        val records: List<StandInRecord>,
        val wrong: Int,
    )

    private fun record(executions: Int, hash: String) = StandInRecord("r", executions, hash)

    private val cases = listOf(
        Case("answered as given", ObservedOutcome.ANSWERED, "h", true, listOf(record(1, "h")), 0),
        Case("another answer", ObservedOutcome.ANSWERED, "x", true, listOf(record(1, "h")), 1),
        Case("answered without record", ObservedOutcome.ANSWERED, "h", true, emptyList(), 1),
        Case("continued elsewhere", ObservedOutcome.ANSWERED, "h", false, listOf(record(1, ""), record(1, "h")), 0),
        Case("run twice at one endpoint", ObservedOutcome.ANSWERED, "h", true, listOf(record(2, "h")), 1),
        Case("run at two endpoints", ObservedOutcome.UNKNOWN, "", true, listOf(record(1, ""), record(1, "h")), 1),
        Case("not run", ObservedOutcome.NOT_RUN, "", true, emptyList(), 0),
        Case("told not run, and was run", ObservedOutcome.NOT_RUN, "", true, listOf(record(1, "")), 1),
        Case("unknown and run", ObservedOutcome.UNKNOWN, "", true, listOf(record(1, "h")), 0),
        Case("broken and not run", ObservedOutcome.BROKEN, "", true, emptyList(), 0),
    )

    @Test
    fun `planted contradictions are found and nothing else`() {
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
            val measured = Measurement(planned, case.outcome, "", 1.0, null, emptyList(), case.hash, "")
            assertEquals(case.wrong, RecordCheck.check(listOf(measured), case.records).size, case.name)
        }
    }
}
