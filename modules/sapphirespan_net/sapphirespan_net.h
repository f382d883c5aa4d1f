/** @file
    Module sapphirespan_net: the event loop, UDP sockets with batches, HTTP, and JSON-RPC connectors.

    Dependencies: sapphirespan_base, libevent, sigc++, libjsonrpccpp, jsoncpp.
    Everything runs on the one thread that runs the loop.
*/
#pragma once

#include "sapphirespan_net/http/HttpClient.h"
#include "sapphirespan_net/http/HttpServer.h"
#include "sapphirespan_net/loop/EventLoop.h"
#include "sapphirespan_net/probe/ConnectionProber.h"
#include "sapphirespan_net/rpc/JsonRpcCaller.h"
#include "sapphirespan_net/rpc/JsonRpcServerConnector.h"
#include "sapphirespan_net/udp/UdpSocket.h"
