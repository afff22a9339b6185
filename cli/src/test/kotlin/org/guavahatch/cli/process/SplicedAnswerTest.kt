package org.guavahatch.cli.process

import org.guavahatch.platform.standin.CallerResult
import kotlin.test.Test
import kotlin.test.assertEquals

/** Endpoints that write a second answer to a request, whole or cut, on a connection that is used again. */
class SplicedAnswerTest {
    @Test
    fun `a failure behind a late second answer is not delivered as a success`() {
        val failures = results.filter { (case, result) ->
            case.status == SplicedAnswers.FAILED && result.status !in SplicedAnswers.FAILURES
        }
        assertEquals(emptyMap(), describe(failures))
    }

    @Test
    fun `an answer behind a late second answer is delivered whole or not at all`() {
        val mixed = results.filter { (case, result) ->
            val isOwn = result.isComplete && result.body == case.ownBody
            case.status == SplicedAnswers.OK && result.status == SplicedAnswers.OK && !isOwn
        }
        assertEquals(emptyMap(), describe(mixed))
    }

    @Test
    fun `a sound answer is not lost to bytes that came while its connection was idle`() {
        val lost = results.filter { (case, result) ->
            val isSound = case.status == SplicedAnswers.OK && case.moment == SplicedAnswer.Moment.IDLE
            isSound && result.status != SplicedAnswers.OK
        }
        assertEquals(emptyMap(), describe(lost))
    }

    private fun describe(results: Map<SplicedAnswer, CallerResult>) =
        results.entries.associate { (case, result) -> case.name to "${result.status} ${result.body}" }

    private companion object {
        val results by lazy { SplicedAnswers.play() }
    }
}
