package org.guavahatch.daemon.sidecar

import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavahatch.coordination.http.SingleTryClient
import org.guavahatch.coordination.lease.FencedLease
import org.guavahatch.daemon.observation.DaemonCounter
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.model.configuration.EndpointPool
import org.tinylog.kotlin.Logger

/**
 * Brings the endpoint's model, adapters and role to what its pool's configuration says. It compares what the endpoint
 * reports with what is wanted and orders the difference, again and again, so that an order of a paused predecessor to
 * an endpoint that checks no fencing numbers is put right.
 *
 * @property pool gives the pool's present configuration, or null before there is one
 */
internal class EngineOrders(
    private val endpointUrl: String,
    private val lease: FencedLease,
    private val metrics: DaemonMetrics,
    private val pool: () -> EndpointPool?,
) : AutoCloseable {
    @Serializable
    private data class Order(val fencingNumber: Long, val setting: String, val value: String)

    @Serializable
    private data class State(val values: Map<String, String>)

    private val client = SingleTryClient.create(MAXIMUM_CONNECTIONS, TIMEOUT_MILLISECONDS)

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                pool()?.takeIf { it.engineSettings.isNotEmpty() }?.let { reconcileSafely(it) }
                delay(PERIOD_MILLISECONDS)
            }
        }
    }

    private suspend fun reconcileSafely(wanted: EndpointPool) {
        try {
            reconcile(wanted)
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            metrics.count(DaemonCounter.ENGINE_ORDERS, "failed")
        }
    }

    private suspend fun reconcile(wanted: EndpointPool) {
        val number = lease.hold(wanted.checksFencing) ?: return
        val present = withTimeout(TIMEOUT_MILLISECONDS) { readState() }
        wanted.engineSettings.filter { present[it.name] != it.value }.forEach { setting ->
            if (lease.isValid()) give(Order(number, setting.name, setting.value))
        }
    }

    private suspend fun readState(): Map<String, String> =
        json.decodeFromString<State>(client.get("$endpointUrl/orders").bodyAsText()).values

    private suspend fun give(order: Order) {
        val response = withTimeout(TIMEOUT_MILLISECONDS) {
            client.post("$endpointUrl/orders") {
                contentType(ContentType.Application.Json)
                setBody(json.encodeToString(order))
            }
        }
        val isTaken = response.status == HttpStatusCode.OK
        metrics.count(DaemonCounter.ENGINE_ORDERS, if (isTaken) "taken" else "refused")
        Logger.info("event=engine-order {} number={} taken={}", order.setting, order.fencingNumber, isTaken)
    }

    override fun close() = client.close()

    private companion object {
        const val PERIOD_MILLISECONDS = 1000L
        const val TIMEOUT_MILLISECONDS = 1000L
        const val MAXIMUM_CONNECTIONS = 4
        val json = Json { ignoreUnknownKeys = true }
    }
}
