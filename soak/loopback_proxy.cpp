// Accepts connections and relays their bytes in both directions, subject to the current faults.
#include "soak/loopback_proxy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

tcp::endpoint to_tcp(const tamarack::endpoint& endpoint) {
    return {asio::ip::make_address(endpoint.address.to_string()), endpoint.port};
}

} // namespace

struct loopback_proxy::impl : std::enable_shared_from_this<loopback_proxy::impl> {
    struct connection;

    impl(asio::io_context& io, const tamarack::endpoint& listen, const tamarack::endpoint& server)
        : context(io), acceptor(io, to_tcp(listen)), server_address(to_tcp(server)) {}

    void accept();

    asio::io_context&                      context;
    tcp::acceptor                          acceptor;
    tcp::endpoint                          server_address;
    proxy_faults                           faults;
    std::vector<std::weak_ptr<connection>> connections;
};

struct loopback_proxy::impl::connection : std::enable_shared_from_this<connection> {
    connection(std::shared_ptr<impl> owner, tcp::socket accepted)
        : proxy(std::move(owner)), client_socket(std::move(accepted)), server_socket(proxy->context) {}

    // One direction of the connection.
    struct direction {
        std::array<char, 16'384> bytes{};
        asio::steady_timer       delay_timer;
        bool                     is_to_server;

        direction(asio::io_context& context, bool toward_server) : delay_timer(context), is_to_server(toward_server) {}
    };

    void start() {
        server_socket.async_connect(proxy->server_address, [self = shared_from_this()](const error_code& error) {
            if (error) return;
            self->read(self->client_to_server);
            self->read(self->server_to_client);
        });
    }

    void read(direction& path) {
        tcp::socket& source = path.is_to_server ? client_socket : server_socket;
        source.async_read_some(
            asio::buffer(path.bytes), [self = shared_from_this(), &path](const error_code& error, std::size_t size) {
                if (error) return self->close();
                const bool is_direction_blackholed = path.is_to_server ? self->proxy->faults.blackholes_to_server
                                                                       : self->proxy->faults.blackholes_to_client;
                if (self->is_blackholed || is_direction_blackholed) return self->read(path);
                path.delay_timer.expires_after(self->proxy->faults.delay);
                path.delay_timer.async_wait([self, &path, size](const error_code&) { self->write(path, size); });
            });
    }

    void write(direction& path, std::size_t size) {
        tcp::socket& destination = path.is_to_server ? server_socket : client_socket;
        asio::async_write(destination, asio::buffer(path.bytes, size),
                          [self = shared_from_this(), &path](const error_code& error, std::size_t) {
                              if (error) return self->close();
                              self->read(path);
                          });
    }

    void close() {
        error_code ignored_error; // the socket may be closed already
        client_socket.close(ignored_error);
        server_socket.close(ignored_error);
    }

    void reset() {
        error_code ignored_error; // the socket may be closed already
        client_socket.set_option(asio::socket_base::linger(true, 0), ignored_error);
        close();
    }

    std::shared_ptr<impl> proxy;
    tcp::socket           client_socket;
    tcp::socket           server_socket;
    direction             client_to_server{proxy->context, true};
    direction             server_to_client{proxy->context, false};
    bool                  is_blackholed = false;
};

void loopback_proxy::impl::accept() {
    acceptor.async_accept([self = shared_from_this()](const error_code& error, tcp::socket accepted) {
        if (error == asio::error::operation_aborted) return;
        if (!error && !self->faults.refuses_connections) {
            const auto new_connection = std::make_shared<connection>(self, std::move(accepted));
            self->connections.push_back(new_connection);
            new_connection->start();
        }
        self->accept();
    });
}

loopback_proxy::loopback_proxy(asio::io_context& context, const tamarack::endpoint& listen,
                               const tamarack::endpoint& server)
    : impl_(std::make_shared<impl>(context, listen, server)) {
    impl_->accept();
}

loopback_proxy::~loopback_proxy() {
    impl_->acceptor.close();
    reset_connections();
}

proxy_faults& loopback_proxy::faults() {
    return impl_->faults;
}

void loopback_proxy::blackhole_connections() {
    for (const auto& weak_connection : impl_->connections) {
        if (const auto open_connection = weak_connection.lock()) open_connection->is_blackholed = true;
    }
}

void loopback_proxy::reset_connections() {
    for (const auto& weak_connection : std::exchange(impl_->connections, {})) {
        if (const auto open_connection = weak_connection.lock()) open_connection->reset();
    }
}

} // namespace soak
