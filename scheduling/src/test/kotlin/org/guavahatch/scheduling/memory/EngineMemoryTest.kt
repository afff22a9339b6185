package org.guavahatch.scheduling.memory

import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.scheduling.direct.EarliestFirstTokenChooser
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.WaitingRequest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class EngineMemoryTest {
    private class Case(
        val name: String,
        val isSent: Boolean,
        val capacity: Long?,
        val prompt: Long,
        val estimated: Long? = null,
        val prepare: EndpointState.() -> Unit = {},
    )

    private val cases = listOf(
        Case("an empty engine", true, 10_000, prompt = 7_000),
        Case("own requests leave room", true, 10_000, prompt = 3_000) { recordSent(0, heldTokens = 5_000) },
        Case("own requests leave no room", false, 10_000, prompt = 3_001) { recordSent(0, heldTokens = 5_000) },
        Case("requests of peers leave no room", false, 10_000, prompt = 3_001) { hold(5_000) },
        Case("a short answer is expected", true, 10_000, prompt = 3_001, estimated = 100) { hold(5_000) },
        Case("an answer can be longer than estimated", false, 10_000, prompt = 3_001, estimated = 700) { hold(5_000) },
        Case("an ended request holds nothing", true, 10_000, prompt = 7_000) {
            recordSent(0, heldTokens = 5_000)
            recordEnded(0, heldTokens = 5_000)
        },
        Case("a request larger than the engine, which is empty", true, 10_000, prompt = 20_000),
        Case("a request larger than the engine, which is in use", false, 10_000, prompt = 20_000) { hold(1) },
        Case("no capacity is known", true, null, prompt = 20_000) { hold(1_000_000) },
    )

    private fun EndpointState.hold(tokens: Long) {
        peerRequests = 1
        peerTokens = tokens
    }

    // Guards against engines that end because the requests sent to them exceed their memory.
    @Test
    fun `a request is sent only where the engine has memory for it`() = cases.forEach { case ->
        val listed = ListedEndpoint(EndpointId("e"), 1, "pool", "127.0.0.1:1", "a", slots = 8, isLeaving = false)
        val state = EndpointState(listed).apply(case.prepare)
        val request = WaitingRequest(1, 0, 0, 0, 500, 5_000, 2_000, case.prompt, 1_000, case.estimated)
        val chooser = MemoryLimitedChooser(EarliestFirstTokenChooser(Random(1), "a")) { case.capacity }
        assertEquals(case.isSent, chooser.choose(request, listOf(state), now = 0) != null, case.name)
    }
}
