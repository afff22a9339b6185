package org.guavahatch.scheduling.zone

import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.ManualClock
import org.guavahatch.scheduling.direct.EarliestFirstTokenChooser
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.direct.PriorityReserve
import org.guavahatch.scheduling.direct.SlotShares
import org.guavahatch.scheduling.direct.WaitingRequest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class ZonePausesTest {
    private class Case(
        val name: String,
        val sentTo: String?,
        val prepare: (home: EndpointState, other: EndpointState) -> Unit,
    )

    private val cases = listOf(
        Case("nothing measured", "a") { _, _ -> },
        Case("long pauses at home, none known elsewhere", "b") { home, _ -> home.pauses(400.0) },
        Case("long pauses at home, short ones elsewhere", "b") { home, other ->
            home.pauses(400.0)
            other.pauses(100.0)
        },
        Case("long pauses everywhere", "a") { home, other ->
            home.pauses(400.0)
            other.pauses(400.0)
        },
        Case("pauses within the objective at home", "a") { home, _ -> home.pauses(180.0) },
        Case("long pauses at home, but nothing is prefilled there now", "a") { home, _ ->
            home.pauses(400.0)
            home.peerPrefillTokens = 0
        },
        Case("long pauses at home, but no slot to spare elsewhere", "a") { home, other ->
            home.pauses(400.0)
            other.peerRequests = 8
        },
        Case("no endpoint at home may prefill the prompt now", "b") { home, _ -> home.prefills(40_000) },
        Case("no endpoint may prefill the prompt now", null) { home, other ->
            home.prefills(40_000)
            other.prefills(40_000)
        },
    )

    private fun EndpointState.pauses(milliseconds: Double) {
        peerPrefillTokens = 5_000
        recordPace(milliseconds)
    }

    private fun EndpointState.prefills(tokens: Long) {
        recordFirstEvent(1_000, 25)
        peerPrefillTokens = tokens
    }

    // Guards against streams that pause for longer than their objective while another zone has slots to spare.
    @Test
    fun `a request leaves its zone if its stream would pause for too long there`() = cases.forEach { case ->
        val (home, other) = listOf("a", "b").map { zone ->
            EndpointState(
                ListedEndpoint(EndpointId(zone), 1, "pool", "127.0.0.1:1", zone, slots = 8, isLeaving = false),
            )
        }
        case.prepare(home, other)
        val clock = ManualClock()
        val peers = PeerTable(clock, silenceMilliseconds = 1_000)
        val random = Random(1)
        val routing = ZoneRouting(
            "pool",
            "a",
            peers,
            EarliestFirstTokenChooser(random, "a"),
            SlotShares(random),
            PriorityReserve("pool", peers, clock),
            ZoneWaitLimit(1e6),
        )
        val request = WaitingRequest(
            1, 0, 0, 0, 2_000, 9_000, 9_000, promptTokens = 1_000, outputTokens = 100,
            longestPauseMilliseconds = 200, transferBytes = 1_000_000,
        )
        assertEquals(
            case.sentTo,
            routing.choose(listOf(request), listOf(home, other), 0)?.endpoint?.listed?.zone,
            case.name,
        )
    }
}
