package org.guavahatch.standins.platform

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.serialization.Serializable
import org.guavahatch.standins.StandIn
import org.guavahatch.standins.web.receiveJson
import org.guavahatch.standins.web.respondJson
import org.guavahatch.standins.web.standInServer
import org.kohsuke.args4j.Option
import java.util.concurrent.ConcurrentHashMap

/** Faults of all services. */
@Serializable
internal data class PlatformFaults(
    val table: ServiceFault = ServiceFault(),
    val objects: ServiceFault = ServiceFault(),
    val instances: ServiceFault = ServiceFault(),
)

/** Command line of the stand-in platform: table service, object store and instance list. */
internal class PlatformMain : StandIn {
    @Option(name = "--port", required = true, usage = "port on the loopback address")
    private var port = 0

    @Option(name = "--list-lag-milliseconds", usage = "age of the instance list")
    private var listLagMilliseconds = 2000L

    private val table = Table()
    private val objects = ConcurrentHashMap<String, String>()
    private val tableSwitch = FaultySwitch()
    private val objectSwitch = FaultySwitch()
    private val instanceSwitch = FaultySwitch()

    override fun run() {
        val instances = ListedInstances(listLagMilliseconds)
        standInServer(port) {
            tableRoutes()
            objectRoutes()
            instanceRoutes(instances)
            put("/faults") { setFaults(call) }
            get("/statistics") { call.respondJson(table.writes) }
        }.start(wait = true)
    }

    private fun Routing.tableRoutes() {
        get("/table/row") {
            tableSwitch.serve(call) {
                val row = table.read(call.request.queryParameters["key"].orEmpty())
                suspend { respondOrNotFound(call, row) }
            }
        }
        get("/table/rows") {
            tableSwitch.serve(call) {
                val rows = table.list(call.request.queryParameters["prefix"].orEmpty())
                suspend { call.respondJson(rows) }
            }
        }
        post("/table/transaction") {
            val transaction = call.receiveJson<Transaction>()
            tableSwitch.serve(call) {
                val failed = table.apply(transaction)
                val status = if (failed.isEmpty()) HttpStatusCode.OK else HttpStatusCode.Conflict
                suspend { call.respondJson(Rejection(failed), status) }
            }
        }
    }

    private suspend fun respondOrNotFound(call: ApplicationCall, row: StoredRow?) {
        if (row == null) call.respondJson("none", HttpStatusCode.NotFound) else call.respondJson(row)
    }

    private fun Routing.objectRoutes() {
        get("/objects/{key...}") {
            objectSwitch.serve(call) {
                val content = objects[objectKey(call)]
                suspend {
                    if (content == null) {
                        call.respondJson("none", HttpStatusCode.NotFound)
                    } else {
                        call.respondText(content, ContentType.Text.Plain)
                    }
                }
            }
        }
        put("/objects/{key...}") {
            val content = call.receiveText()
            objectSwitch.serve(call) {
                val isNew = objects.putIfAbsent(objectKey(call), content) == null
                suspend {
                    call.respondJson(isNew, if (isNew) HttpStatusCode.Created else HttpStatusCode.PreconditionFailed)
                }
            }
        }
    }

    private fun objectKey(call: ApplicationCall) = call.parameters.getAll("key").orEmpty().joinToString("/")

    private fun Routing.instanceRoutes(instances: ListedInstances) {
        get("/instances/{deployment}") {
            instanceSwitch.serve(call) {
                val listed = instances.get(call.parameters["deployment"].orEmpty(), System.currentTimeMillis())
                suspend { call.respondJson(listed) }
            }
        }
        put("/instances/{deployment}") {
            val listed = call.receiveJson<List<ListedInstance>>()
            instances.set(call.parameters["deployment"].orEmpty(), listed, System.currentTimeMillis())
            call.respondJson(listed.size)
        }
    }

    private suspend fun setFaults(call: ApplicationCall) {
        val faults = call.receiveJson<PlatformFaults>()
        tableSwitch.fault = faults.table
        objectSwitch.fault = faults.objects
        instanceSwitch.fault = faults.instances
        call.respondJson(faults)
    }
}
