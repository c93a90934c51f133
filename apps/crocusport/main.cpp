#include "crocusport/daemon/operatortool.h"

#include <iostream>

int main(int argc, char **argv)
{
    return static_cast<int>(crocusport::OperatorTool(std::cout, std::cerr).run(argc, argv));
}
