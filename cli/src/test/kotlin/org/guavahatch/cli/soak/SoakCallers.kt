package org.guavahatch.cli.soak

import org.guavahatch.platform.PlatformHeaders
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * A request of a caller and the response to it.
 *
 * @property id request id
 * @property route name of the route, which is the first segment of the path
 * @property key client key
 * @property sentAtMilliseconds time of sending, in milliseconds of the monotonic clock
 * @param response the response, null if the connection failed or the response is incomplete
 */
internal class SoakCall(
    val id: String,
    val route: String,
    val key: String,
    val sentAtMilliseconds: Long,
    response: HttpResponse<String>?,
) {
    /** Status code of the response, 0 if there is none. */
    val status = response?.statusCode() ?: 0

    /** Body of the response, empty if there is none. */
    val body = response?.body().orEmpty()

    /** Request id that the response bears. */
    val responseId: String? = response?.headers()?.firstValue(PlatformHeaders.names.requestId)?.orElse(null)

    /** Seal that the endpoint gave to the response; null if it is a gateway's own. */
    val seal: String? = response?.headers()?.firstValue(SoakAnswer.SEAL)?.orElse(null)

    val isSuccess: Boolean get() = status in SUCCESSES

    private companion object {
        val SUCCESSES = 200..299
    }
}

/** Callers that reuse connections and switch to another gateway after a failed request. */
internal class SoakCallers(private val addresses: List<String>, private val seed: Int) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val threads = ArrayList<Thread>()

    /** Calls that have completed. */
    val calls = ConcurrentLinkedQueue<SoakCall>()

    /** All client keys in the order of their creation. Most calls use the last one, some an earlier one. */
    @Volatile
    var keys = listOf("key-0")

    @Volatile
    private var isStopped = false

    /** Starts the callers. */
    fun start() = repeat(CALLERS) { caller -> threads += thread { run(caller, Random(seed * CALLERS + caller)) } }

    /** Stops the callers after their current calls. */
    fun stop() {
        isStopped = true
        threads.forEach { it.join() }
    }

    /** Sends one request and waits for its response. */
    fun call(id: String, route: String, address: String, key: String = keys.last()): SoakCall {
        val sentAtMilliseconds = SoakEndpoints.now()
        val request = HttpRequest.newBuilder(URI("http://$address/$route/x")).timeout(TIMEOUT)
            .header(PlatformHeaders.names.requestId, id)
            .header(PlatformHeaders.names.key, key)
            .header(PlatformHeaders.names.timeBudget, "3000")
            .POST(HttpRequest.BodyPublishers.ofString("hello")).build()
        // A failed connection is a valid result: the caller does not learn the outcome of its request.
        val response = runCatching { client.send(request, HttpResponse.BodyHandlers.ofString()) }.getOrNull()
        return SoakCall(id, route, key, sentAtMilliseconds, response)
    }

    private fun run(caller: Int, random: Random) {
        var number = 0
        var address = addresses.random(random)
        while (!isStopped) {
            val key = if (random.nextInt(EARLIER_KEY_INTERVAL) == 0) keys.random(random) else keys.last()
            val call = call("s$seed-c$caller-${number++}", ROUTES.random(random), address, key)
            calls += call
            if (call.status != OK) address = addresses.random(random)
            Thread.sleep(random.nextLong(MAXIMUM_PAUSE_MILLISECONDS))
        }
    }

    companion object {
        const val OK = 200
        val ROUTES = listOf("read", "order", "stream", "resumable")
        private const val CALLERS = 6

        /** On average, one of this many calls uses a key that is drawn from all keys. */
        private const val EARLIER_KEY_INTERVAL = 8
        private const val MAXIMUM_PAUSE_MILLISECONDS = 20L
        private val TIMEOUT = Duration.ofSeconds(5)
    }
}
