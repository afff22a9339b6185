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
import org.guavahatch.coordination.http.SingleAttemptClient
import org.guavahatch.coordination.lease.FencedLease
import org.guavahatch.daemon.observation.DaemonCounter
import org.guavahatch.daemon.observation.DaemonMetrics
import org.guavahatch.model.configuration.EndpointPool
import org.tinylog.kotlin.Logger

/**
 * Reconciles the endpoint's model, adapters and role with the configuration of its pool. Compares the settings that the
 * endpoint reports with the configured ones and orders the differences. This is repeated periodically, because an
 * endpoint that does not check fencing numbers may execute a late order of a suspended predecessor of this process. The
 * next pass then corrects it.
 *
 * @property pool returns the current configuration of the pool, or null if there is none yet
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

    private val client = SingleAttemptClient.create(MAXIMUM_CONNECTIONS, CALL_TIMEOUT_MILLISECONDS)

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                pool()?.takeIf { it.engineSettings.isNotEmpty() }?.let { reconcileAndCountErrors(it) }
                delay(RECONCILE_PERIOD_MILLISECONDS)
            }
        }
    }

    private suspend fun reconcileAndCountErrors(configured: EndpointPool) {
        try {
            reconcile(configured)
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            metrics.count(DaemonCounter.ENGINE_ORDERS, "failed")
        }
    }

    private suspend fun reconcile(configured: EndpointPool) {
        val fencingNumber = lease.acquireOrRenew(configured.checksFencing) ?: return
        val reported = withTimeout(CALL_TIMEOUT_MILLISECONDS) { fetchReportedSettings() }
        configured.engineSettings.filter { reported[it.name] != it.value }.forEach { setting ->
            if (lease.isValid()) sendOrder(Order(fencingNumber, setting.name, setting.value))
        }
    }

    private suspend fun fetchReportedSettings(): Map<String, String> =
        json.decodeFromString<State>(client.get("$endpointUrl/orders").bodyAsText()).values

    private suspend fun sendOrder(order: Order) {
        val response = withTimeout(CALL_TIMEOUT_MILLISECONDS) {
            client.post("$endpointUrl/orders") {
                contentType(ContentType.Application.Json)
                setBody(json.encodeToString(order))
            }
        }
        val isAccepted = response.status == HttpStatusCode.OK
        metrics.count(DaemonCounter.ENGINE_ORDERS, if (isAccepted) "taken" else "refused")
        Logger.info("event=engine-order {} number={} taken={}", order.setting, order.fencingNumber, isAccepted)
    }

    override fun close() = client.close()

    private companion object {
        const val RECONCILE_PERIOD_MILLISECONDS = 1000L
        const val CALL_TIMEOUT_MILLISECONDS = 1000L
        const val MAXIMUM_CONNECTIONS = 4
        val json = Json { ignoreUnknownKeys = true }
    }
}
