package org.guavahatch.cli.soak

import org.guavahatch.platform.standin.Deployment
import kotlin.random.Random

/** Injects faults that a rollout must withstand: killed, frozen and cut off gateways, and an outage of the store. */
internal class RolloutSoakFaults(
    private val deployment: Deployment,
    private val gateways: List<SoakGateway>,
    private val random: Random,
) {
    private class Repair(val dueMilliseconds: Long, val repair: () -> Unit)

    private val repairs = ArrayList<Repair>()

    /** Descriptions of the injected faults in order, for messages. */
    val history = ArrayList<String>()

    /** Injects faults for [milliseconds], then repairs all of them. */
    fun injectFor(milliseconds: Long) {
        val end = SoakEndpoints.now() + milliseconds
        while (SoakEndpoints.now() < end) {
            inject(gateways.random(random))
            Thread.sleep(random.nextLong(MINIMUM_GAP_MILLISECONDS, MAXIMUM_GAP_MILLISECONDS))
            repairDue(SoakEndpoints.now())
        }
        repairDue(Long.MAX_VALUE)
    }

    /** Kills a gateway and starts it again. It must not use endpoints that were stopped meanwhile. */
    fun restartOne() {
        val gateway = gateways.random(random)
        history += "restart ${gateway.name}"
        gateway.process.kill()
        gateway.ensureStarted()
    }

    private fun inject(gateway: SoakGateway) = when (random.nextInt(FAULT_KINDS)) {
        0 -> inject("kill ${gateway.name}", { gateway.process.kill() }, gateway::ensureStarted)
        1 -> inject(
            "freeze ${gateway.name}",
            { if (gateway.process.isRunning) gateway.process.suspendProcess() },
            { if (gateway.process.isRunning) gateway.process.resumeProcess() },
        )
        2 -> inject("cut ${gateway.name} from its peers", { cut(gateway) }, { restore(gateway) })
        3 -> inject(
            "refuse store requests of ${gateway.name}",
            { gateway.storeAccess.failureStatus = UNAVAILABLE },
            { gateway.storeAccess.failureStatus = null },
        )
        else -> inject(
            "refuse all store requests",
            { deployment.store.failureStatus = UNAVAILABLE },
            { deployment.store.failureStatus = null },
        )
    }

    /** Peers send their datagrams to an address where nobody listens. */
    private fun cut(gateway: SoakGateway) = deployment.store.put("gateways", gateway.name, NOWHERE)

    private fun restore(gateway: SoakGateway) = deployment.store.put("gateways", gateway.name, gateway.settings.control)

    private fun inject(description: String, inject: () -> Unit, repair: () -> Unit) {
        history += description
        inject()
        val due = SoakEndpoints.now() + random.nextLong(MINIMUM_GAP_MILLISECONDS, MAXIMUM_FAULT_MILLISECONDS)
        repairs += Repair(due, repair)
    }

    private fun repairDue(now: Long) {
        val due = repairs.filter { it.dueMilliseconds <= now }
        repairs.removeAll(due)
        due.forEach { it.repair() }
    }

    private companion object {
        const val FAULT_KINDS = 5
        const val UNAVAILABLE = 503
        const val NOWHERE = "127.0.0.1:1"
        const val MINIMUM_GAP_MILLISECONDS = 200L
        const val MAXIMUM_GAP_MILLISECONDS = 900L
        const val MAXIMUM_FAULT_MILLISECONDS = 2_500L
    }
}
