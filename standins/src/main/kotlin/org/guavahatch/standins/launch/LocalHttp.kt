package org.guavahatch.standins.launch

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration

/** HTTP client for processes on this machine. */
object LocalHttp {
    private const val POLL_INTERVAL_MILLISECONDS = 50L
    private const val STATUS_OK = 200
    private const val TIMEOUT_SECONDS = 60L
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    /** Sends a GET request; [headers] alternates names and values. */
    fun get(url: String, vararg headers: String): HttpResponse<String> = send(request(url, headers).GET())

    /** Sends a PUT request with [body]. */
    fun put(url: String, body: String): HttpResponse<String> =
        send(request(url, emptyArray()).PUT(BodyPublishers.ofString(body)))

    /** Sends a POST request with [body]; [headers] alternates names and values. */
    fun post(url: String, body: String, vararg headers: String): HttpResponse<String> =
        send(request(url, headers).POST(BodyPublishers.ofString(body)))

    private fun request(url: String, headers: Array<out String>): HttpRequest.Builder {
        val builder = HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
        return if (headers.isEmpty()) builder else builder.headers(*headers)
    }

    private fun send(request: HttpRequest.Builder) = client.send(request.build(), BodyHandlers.ofString())

    /**
     * Waits until [url] answers with status 200.
     *
     * @throws IllegalStateException if it does not within [milliseconds]
     */
    fun awaitOk(url: String, milliseconds: Long) =
        await(milliseconds, "$url did not answer with status 200 within $milliseconds ms.") { isOk(url) }

    /**
     * Waits until [url] answers with any status.
     *
     * @throws IllegalStateException if it does not within [milliseconds]
     */
    internal fun awaitAnswer(url: String, milliseconds: Long) =
        await(milliseconds, "$url did not answer within $milliseconds ms.") { status(url) != null }

    private fun await(milliseconds: Long, failure: String, condition: () -> Boolean) {
        val deadline = System.nanoTime() + milliseconds * 1_000_000
        while (!condition()) {
            check(System.nanoTime() < deadline) { failure }
            Thread.sleep(POLL_INTERVAL_MILLISECONDS)
        }
    }

    /** Sends one GET request; returns whether [url] answered with status 200. */
    fun isOk(url: String): Boolean = status(url) == STATUS_OK

    private fun status(url: String): Int? = try {
        get(url).statusCode()
    } catch (_: IOException) {
        null
    }
}
