// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import ottergauge.protocol.Address;
import ottergauge.protocol.Content;
import ottergauge.protocol.EndpointList;
import ottergauge.routing.Event.ClientRequest;

/** Something the transport is to do. Spans are microseconds. */
public sealed interface Effect {

    /**
     * A final answer; {@code retryAfter} of 0 is no advice, {@code last} closes the connection
     * after it.
     */
    record Respond(long client, int status, long retryAfter, Content content, boolean last)
            implements Effect {}

    /**
     * Tells on-call staff why a client's message was not taken, and how many before it went untold.
     */
    record NotTaken(long client, int status, String why, int before) implements Effect {}

    /** Accepts connections of clients up to so many; further ones wait. */
    record AcceptUpTo(int connections) implements Effect {}

    record CloseClient(long client, CloseReason reason) implements Effect {}

    record Connect(long connection, Address address, long timeout) implements Effect {}

    /**
     * Reads what has come by now, on all connections, and then says so: what is about to begin is
     * begun by what is known then.
     */
    record ReadAll(long connection) implements Effect {}

    /**
     * Writes a request to a server; {@code waits} is how long the node will wait for the answer.
     */
    record Forward(long connection, ClientRequest request, long waits) implements Effect {}

    /** Writes the head of a request to a server, and what comes of its body as it comes. */
    record ForwardFlow(long connection, ClientRequest request, long waits, long client)
            implements Effect {}

    /** Lets an answer flow that has begun and does not tell its length. */
    record FlowNow(long connection) implements Effect {}

    /** Passes a server's answer on to a client as it comes. */
    record PassOn(long client, long connection, boolean last) implements Effect {}

    /** Asks a server for its load. */
    record AskLoad(long connection) implements Effect {}

    record CloseServer(long connection, CloseReason reason) implements Effect {}

    /**
     * Asks discovery for what is newer than a version, waiting so long for it; for the whole list
     * if the version is negative.
     */
    record CallDiscovery(long call, Address address, long after, long waits) implements Effect {}

    /** Ends a call to discovery: nothing that it brings counts any more. */
    record GiveUpCall(long call, CloseReason reason) implements Effect {}

    record StartTimer(long delay, Timer timer) implements Effect {}

    /** The answer to an operator's call; the connection ends with it. */
    record TellOperator(long caller, int status, String text) implements Effect {}

    /** Keeps for the node's next process, and one beside this, that a server is held out. */
    record KeepHeld(String server, long since) implements Effect {}

    record DropHeld(String server) implements Effect {}

    /** Keeps the list of servers for the node's next process. */
    record KeepList(EndpointList list) implements Effect {}

    /** Takes what has connected by now and nothing more: another process of this node does. */
    record StopAccepting() implements Effect {}

    /** All is answered: the program may end. */
    record Exit() implements Effect {}
}
