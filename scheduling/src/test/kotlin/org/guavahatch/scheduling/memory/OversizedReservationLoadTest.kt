package org.guavahatch.scheduling.memory

import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.ManualClock
import org.guavahatch.scheduling.direct.AccountReport
import org.guavahatch.scheduling.direct.EarliestFirstTokenChooser
import org.guavahatch.scheduling.direct.EndpointLoad
import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.PeerLoads
import org.guavahatch.scheduling.direct.PeerReport
import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.direct.WaitingQueue
import org.guavahatch.scheduling.direct.WaitingRequest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Gateways whose engines are never empty, and requests that only an empty engine can hold. */
class OversizedReservationLoadTest {
    private class Gateway(val name: String, clock: ManualClock, random: Random, hasReservations: Boolean) {
        val peers = PeerTable(clock, silenceMilliseconds = 1_000)
        val reservation = OversizedReservation("pool", name, peers) { CAPACITY }.takeIf { hasReservations }
        val chooser = MemoryLimitedChooser(EarliestFirstTokenChooser(random, "a"), reservation) { CAPACITY }
        val queue = WaitingQueue()
        val states = List(2) {
            EndpointState(ListedEndpoint(EndpointId("e-$it"), 1, "pool", "127.0.0.1:1", "a", 16, isLeaving = false))
        }
        var isStopped = false

        fun report(now: Long): PeerReport {
            val load = states.filter { it.ownRequests > 0 }
                .associate { it.listed.id.value to EndpointLoad(it.ownRequests, 0, it.ownTokens) }
            val reserved = reservation?.endpoint?.let { mapOf("pool" to it) }.orEmpty()
            return PeerReport(
                name,
                "run",
                now,
                load,
                1,
                AccountReport(emptyMap(), emptyMap()),
                emptyMap(),
                reserved = reserved,
            )
        }

        fun next(now: Long): Pair<WaitingRequest, EndpointState>? {
            val kept = reservation?.request?.let { request ->
                reservation.emptyEndpoint(states, now)?.let { request to it }
            }
            return kept ?: queue.candidates(now).firstNotNullOfOrNull { request ->
                chooser.choose(request, states, now)?.let { request to it }
            }
        }
    }

    private class Sent(val request: WaitingRequest, val gateway: Gateway, val state: EndpointState, val endsAt: Long)

    private class Simulation(hasReservations: Boolean, seed: Int) {
        private val random = Random(seed)
        private val clock = ManualClock()
        val gateways = List(3) { Gateway("g-$it", clock, random, hasReservations) }
        private val running = ArrayList<Sent>()
        private var sequence = 0L
        val sentAt = HashMap<Long, Long>()

        /** Most tokens that an engine held beside a large request, its own included. */
        var mostTokens = 0L
        var served = 0

        fun submit(gateway: Gateway, tokens: Long): Long {
            val now = clock.monotonicMilliseconds()
            val id = sequence++
            gateway.queue.add(
                WaitingRequest(id, 0, 0, now, now + PATIENCE, now + PATIENCE, now + PATIENCE, tokens - 10, 10),
            )
            return id
        }

        fun run(milliseconds: Int) = repeat(milliseconds) {
            clock.advance(1)
            val now = clock.monotonicMilliseconds()
            // 1.2 times the memory of both engines.
            if (now % 14 == 0L) submit(gateways.filter { !it.isStopped }.random(random), tokens = 1_000)
            running.filter { it.endsAt <= now }.forEach { end(it) }
            gateways.filter { !it.isStopped }.forEachIndexed { index, gateway ->
                if ((now + index * 13) % 40 == 0L) {
                    gateways.filter { it !== gateway }.forEach { other ->
                        other.peers.processReport(gateway.report(now))
                    }
                }
                if ((now + index) % 20 == 0L) {
                    PeerLoads(gateway.peers).apply(gateway.states)
                    gateway.reservation?.update(gateway.queue.inDispatchOrder(now), gateway.states, now)
                }
                while (true) send(gateway, gateway.next(now) ?: break, now)
            }
            gateways.first().states.map { it.listed.id }.forEach { id ->
                val held = running.filter { it.state.listed.id == id }.map { EngineMemory.tokensOf(it.request) }
                if (held.any { it > LARGE / 2 }) mostTokens = maxOf(mostTokens, held.sum())
            }
        }

        private fun send(gateway: Gateway, next: Pair<WaitingRequest, EndpointState>, now: Long) {
            val (request, state) = next
            gateway.queue.remove(request)
            state.recordSent(0, EngineMemory.tokensOf(request))
            sentAt[request.sequence] = now
            running += Sent(request, gateway, state, now + 200 + random.nextInt(200))
        }

        private fun end(sent: Sent) {
            running.remove(sent)
            sent.state.recordEnded(0, EngineMemory.tokensOf(sent.request))
            served++
        }
    }

    // Guards against requests larger than the usable memory that wait for as long as others keep the engines in use.
    @Test
    fun `large requests of several gateways are sent under load, one after the other`() = repeat(3) { seed ->
        val results = listOf(false, true).map { hasReservations ->
            val simulation = Simulation(hasReservations, seed)
            simulation.run(1_000)
            val large = simulation.gateways.map { simulation.submit(it, tokens = LARGE) }
            simulation.run(8_000)
            val waits = large.map { id -> simulation.sentAt[id]?.minus(1_000) }
            println(
                "reservations $hasReservations, seed $seed: $waits, ${simulation.served} served, most tokens " +
                    "${simulation.mostTokens}",
            )
            waits to simulation
        }
        val (without, with) = results.map { it.first }
        assertTrue(without.all { it == null }, "an engine was empty without a reservation: $without")
        assertTrue(with.all { it != null && it < PATIENCE }, "$with")
        // Peers that do not know of a reservation would send beside the large request.
        assertTrue(results.last().second.mostTokens <= CAPACITY, "${results.last().second.mostTokens} tokens")
    }

    // Guards against an endpoint that stays out of use because the gateway that reserved it has ended.
    @Test
    fun `an endpoint is used again after the gateway that reserved it has ended`() {
        val simulation = Simulation(hasReservations = true, seed = 1)
        simulation.run(1_000)
        val owner = simulation.gateways.first()
        simulation.submit(owner, tokens = LARGE)
        while (owner.reservation?.endpoint == null) simulation.run(1)
        val reserved = owner.reservation.endpoint
        owner.isStopped = true
        simulation.run(3_000)
        val used = simulation.gateways.drop(1).sumOf { gateway ->
            gateway.states.single { it.listed.id == reserved }.ownRequests
        }
        assertTrue(used > 0)
    }

    // Guards against a reservation that outlives its request, or that a smaller request or an idle pool begins.
    @Test
    fun `a reservation begins after a quarter of the time and ends with the request`() {
        val clock = ManualClock()
        val reservation = OversizedReservation("pool", "g", PeerTable(clock, 1_000)) { CAPACITY }
        val state = EndpointState(ListedEndpoint(EndpointId("e"), 1, "pool", "127.0.0.1:1", "a", 8, isLeaving = false))
        val small = WaitingRequest(1, 0, 0, 0, 4_000, 9_000, 9_000, 1_000, 10)
        val large = WaitingRequest(2, 0, 0, 0, 4_000, 9_000, 9_000, LARGE, 10)
        val cases = listOf(
            Triple(listOf(small), 2_000L, null),
            Triple(listOf(small, large), 999L, null),
            Triple(listOf(small, large), 1_000L, large),
            Triple(listOf(small), 1_100L, null),
        )
        cases.forEach { (waiting, now, expected) ->
            reservation.update(waiting, listOf(state), now)
            assertEquals(expected, reservation.request, "$now")
            assertEquals(expected == null, reservation.admits(small, state), "$now")
        }
    }

    private companion object {
        const val CAPACITY = 10_000L
        const val LARGE = 9_500L
        const val PATIENCE = 8_000L
    }
}
