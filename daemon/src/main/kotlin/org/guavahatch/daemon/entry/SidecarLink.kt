package org.guavahatch.daemon.entry

import arrow.core.Either
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.guavahatch.coordination.store.Instance
import org.guavahatch.daemon.settings.EntrySettings
import org.guavahatch.daemon.transport.ConnectionError
import org.guavahatch.daemon.transport.Handshake
import org.guavahatch.daemon.transport.PeerConnection
import org.guavahatch.model.time.Clock
import org.guavahatch.protocol.message.Heartbeat
import org.guavahatch.protocol.message.Hello
import org.guavahatch.protocol.message.Message
import kotlin.random.Random

/** Receives the events of the connections to sidecars. */
internal interface SidecarLinkListener {
    /** Creates the first message of a new connection. */
    fun hello(challenge: String): Hello

    fun heartbeat(): Heartbeat

    fun onConnected(link: SidecarLink, hello: Hello)

    fun onMessage(link: SidecarLink, message: Message)

    fun onDisconnected(link: SidecarLink, error: ConnectionError)
}

/** Maintains one connection to a sidecar. Reconnects when the connection ends or no message arrives for too long. */
internal class SidecarLink(
    val instance: Instance,
    private val settings: EntrySettings,
    private val handshake: Handshake,
    private val selector: SelectorManager,
    private val clock: Clock,
    private val listener: SidecarLinkListener,
    private val scope: CoroutineScope,
) {
    @Volatile
    private var connection: PeerConnection? = null
    private var job: Job? = null

    val isConnected: Boolean get() = connection != null

    fun start() {
        job = scope.launch {
            var backoff = INITIAL_BACKOFF_MILLISECONDS
            while (true) {
                val wasConnected = connectAndServe()
                backoff =
                    if (wasConnected) INITIAL_BACKOFF_MILLISECONDS else minOf(backoff * 2, MAXIMUM_BACKOFF_MILLISECONDS)
                delay(backoff + Random.nextLong(backoff))
            }
        }
    }

    suspend fun stop() {
        job?.cancelAndJoin()
    }

    /** Sends [message] on the current connection, or drops it if there is none. */
    fun send(message: Message) {
        connection?.send(message)
    }

    /** Connects and serves the connection until it ends. Returns false if the sidecar could not be reached. */
    private suspend fun connectAndServe(): Boolean {
        val newConnection = openConnection() ?: return false
        val writer = scope.launch { newConnection.writeQueued() }
        try {
            return when (val result = handshake.perform(newConnection, listener::hello)) {
                is Either.Left -> false
                is Either.Right -> serve(newConnection, result.value)
            }
        } finally {
            newConnection.close()
            writer.cancelAndJoin()
        }
    }

    private suspend fun openConnection(): PeerConnection? = try {
        withTimeoutOrNull(settings.silenceMilliseconds) {
            aSocket(selector).tcp().connect(instance.host, instance.port) { noDelay = true }
        }?.let { PeerConnection(it, clock) }
    } catch (exception: CancellationException) {
        throw exception
    } catch (_: Exception) {
        null
    }

    private suspend fun serve(newConnection: PeerConnection, hello: Hello): Boolean {
        if (hello.name != instance.name) return false
        connection = newConnection
        listener.onConnected(this, hello)
        val keepAlive = scope.launch { keepAlive(newConnection) }
        var end: ConnectionError = ConnectionError.Closed(
            STEP,
            newConnection.peer,
            "The connection was closed by this process.",
        )
        try {
            end = receive(newConnection)
            return true
        } finally {
            connection = null
            keepAlive.cancel()
            listener.onDisconnected(this, end)
        }
    }

    private suspend fun keepAlive(newConnection: PeerConnection) {
        newConnection.keepAlive(settings.heartbeatMilliseconds, settings.silenceMilliseconds) {
            listOf(listener.heartbeat())
        }
    }

    private suspend fun receive(newConnection: PeerConnection): ConnectionError {
        while (true) {
            when (val received = newConnection.receive(STEP)) {
                is Either.Left -> return received.value
                is Either.Right -> listener.onMessage(this, received.value)
            }
        }
    }

    private companion object {
        const val STEP = "receive from sidecar"
        const val INITIAL_BACKOFF_MILLISECONDS = 25L
        const val MAXIMUM_BACKOFF_MILLISECONDS = 400L
    }
}
