package org.guavahatch.scheduling.endpoint

import kotlin.test.Test
import kotlin.test.assertEquals

class StragglerDetectorTest {
    private val settings = StragglerSettings()

    private fun trained(): StragglerDetector = StragglerDetector(settings).apply {
        repeat(500) { onTokenGap(40, it * 40L) }
        onTick(40, 20_000)
    }

    private class Case(val name: String, val act: StragglerDetector.() -> Unit, val speedState: SpeedState)

    private val cases = listOf(
        Case("normal wait", { onTick(100, 20_100) }, SpeedState.NORMAL),
        Case("three times the average gap, as in a slowdown of all engines", {
            onTick(120, 20_100)
        }, SpeedState.NORMAL),
        Case("ten times the average gap", { onTick(401, 20_401) }, SpeedState.STRAGGLING),
        Case("no stream is decoding", { onTick(null, 30_000) }, SpeedState.NORMAL),
        Case("no work for the probe delay", {
            stall()
            onTick(null, 22_500)
        }, SpeedState.PROBING),
        Case("slow probe", {
            stall()
            onTick(null, 22_500)
            onTokenGap(400, 22_900)
        }, SpeedState.STRAGGLING),
        Case(
            "normal probe",
            {
                stall()
                onTick(null, 22_500)
                repeat(20) { onTokenGap(40, 22_540L + 40 * it) }
            },
            SpeedState.NORMAL,
        ),
    )

    private fun StragglerDetector.stall() = onTick(500, 20_500)

    @Test
    fun `an endpoint is a straggler relative to its own average speed`() {
        cases.forEach { case -> assertEquals(case.speedState, trained().apply(case.act).speedState, case.name) }
    }

    @Test
    fun `an endpoint without any token is never a straggler`() {
        val detector = StragglerDetector(settings).apply { onTick(60_000, 60_000) }
        assertEquals(SpeedState.NORMAL, detector.speedState)
    }
}
